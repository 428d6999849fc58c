/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/proxy/test/caller/validate-request.test.ts > TAP > refused: damaged token > must match snapshot 1`] = `
The session token is damaged; send the token exactly as it was received, or none to start a new session. Send the token as it was received.
`

exports[`packages/proxy/test/caller/validate-request.test.ts > TAP > refused: empty request key > must match snapshot 1`] = `
request_key.key: expected 1 to 200 characters. Correct the named field and send the request again.
`

exports[`packages/proxy/test/caller/validate-request.test.ts > TAP > refused: large parameters > must match snapshot 1`] = `
statement.parameters_json: expected at most 1048576 bytes. Correct the named field and send the request again.
`

exports[`packages/proxy/test/caller/validate-request.test.ts > TAP > refused: long caller id > must match snapshot 1`] = `
caller_id: expected at most 200 characters. Correct the named field and send the request again.
`

exports[`packages/proxy/test/caller/validate-request.test.ts > TAP > refused: long database > must match snapshot 1`] = `
database: expected a name. Correct the named field and send the request again.
`

exports[`packages/proxy/test/caller/validate-request.test.ts > TAP > refused: long request key > must match snapshot 1`] = `
request_key.key: expected 1 to 200 characters. Correct the named field and send the request again.
`

exports[`packages/proxy/test/caller/validate-request.test.ts > TAP > refused: long statement name > must match snapshot 1`] = `
statement: expected a name. Correct the named field and send the request again.
`

exports[`packages/proxy/test/caller/validate-request.test.ts > TAP > refused: negative maximum age > must match snapshot 1`] = `
max_age_ms: expected 0 or more, seen -1. Correct the named field and send the request again.
`

exports[`packages/proxy/test/caller/validate-request.test.ts > TAP > refused: negative timeout > must match snapshot 1`] = `
timeout_ms: expected 1 to 600000, seen -1. Correct the named field and send the request again.
`

exports[`packages/proxy/test/caller/validate-request.test.ts > TAP > refused: no access > must match snapshot 1`] = `
access: expected read or write. Correct the named field and send the request again.
`

exports[`packages/proxy/test/caller/validate-request.test.ts > TAP > refused: no database > must match snapshot 1`] = `
database: expected a name. Correct the named field and send the request again.
`

exports[`packages/proxy/test/caller/validate-request.test.ts > TAP > refused: no statement > must match snapshot 1`] = `
statement: expected a name. Correct the named field and send the request again.
`

exports[`packages/proxy/test/caller/validate-request.test.ts > TAP > refused: request key on a read > must match snapshot 1`] = `
request_key: not used with reads; leave it out. Correct the named field and send the request again.
`

exports[`packages/proxy/test/caller/validate-request.test.ts > TAP > refused: statement without name > must match snapshot 1`] = `
statement: expected a name. Correct the named field and send the request again.
`

exports[`packages/proxy/test/caller/validate-request.test.ts > TAP > refused: timeout over the maximum > must match snapshot 1`] = `
timeout_ms: expected 1 to 600000, seen 600001. Correct the named field and send the request again.
`

exports[`packages/proxy/test/caller/validate-request.test.ts > TAP > refused: token of another database > must match snapshot 1`] = `
The session token belongs to database other; keep one token for each database. Keep one token for each database.
`

exports[`packages/proxy/test/caller/validate-request.test.ts > TAP > refused: token signed with another key > must match snapshot 1`] = `
The signature of the session token does not match; send the token as it was received, or none to start a new session. Send the token as it was received.
`

exports[`packages/proxy/test/caller/validate-request.test.ts > TAP > refused: token with a changed position > must match snapshot 1`] = `
The signature of the session token does not match; send the token as it was received, or none to start a new session. Send the token as it was received.
`

exports[`packages/proxy/test/caller/validate-request.test.ts > TAP > refused: zero timeout > must match snapshot 1`] = `
timeout_ms: expected 1 to 600000, seen 0. Correct the named field and send the request again.
`
