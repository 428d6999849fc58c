/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/pooler/test/session/session.test.ts > TAP > a value or a statement that the endpoints refuse is told to the client at once > must match snapshot 1`] = `
Array [
  "holds",
  "prepare",
  Array [
    "prepare",
    "execute",
  ],
  Array [
    "- idle",
    "malformed idle",
  ],
]
`

exports[`packages/pooler/test/session/session.test.ts > TAP > a value or a statement that the endpoints refuse is told to the client at once > must match snapshot 2`] = `
Array [
  "holds",
  "prepare",
  Array [
    "prepare",
    "execute",
  ],
  Array [
    "- idle",
    "malformed idle",
  ],
]
`

exports[`packages/pooler/test/session/session.test.ts > TAP > a value or a statement that the endpoints refuse is told to the client at once > must match snapshot 3`] = `
Array [
  "boards",
  "prepare",
  Array [
    "prepare",
    "execute",
  ],
  Array [
    "- idle",
    "malformed idle",
  ],
]
`

exports[`packages/pooler/test/session/session.test.ts > TAP > a value or a statement that the endpoints refuse is told to the client at once > must match snapshot 4`] = `
Array [
  "holds",
  "prepare",
  Array [
    "begin",
    "prepare",
    "execute",
    "commit",
  ],
  Array [
    "- open",
    "- open",
    "malformed failed",
    "aborted idle",
  ],
]
`

exports[`packages/pooler/test/session/session.test.ts > TAP > a value or a statement that the endpoints refuse is told to the client at once > must match snapshot 5`] = `
Array [
  "holds",
  "set",
  Array [
    "set",
    "write",
  ],
  Array [
    "- idle",
    "malformed idle",
  ],
]
`

exports[`packages/pooler/test/session/session.test.ts > TAP > a value or a statement that the endpoints refuse is told to the client at once > must match snapshot 6`] = `
Array [
  "boards",
  "set",
  Array [
    "set",
    "read",
  ],
  Array [
    "- idle",
    "malformed idle",
  ],
]
`

exports[`packages/pooler/test/session/session.test.ts > TAP > a value or a statement that the endpoints refuse is told to the client at once > must match snapshot 7`] = `
Array [
  "holds",
  "set",
  Array [
    "set",
    "begin",
    "write",
    "commit",
  ],
  Array [
    "- idle",
    "- open",
    "malformed failed",
    "aborted idle",
  ],
]
`

exports[`packages/pooler/test/session/session.test.ts > TAP > bounded read, connections lost at all members > answers and what ran 1`] = `
Object {
  "answers": Array [
    "read: sig idle",
  ],
  "ran": Array [
    "r1/read:r",
  ],
}
`

exports[`packages/pooler/test/session/session.test.ts > TAP > empty transaction > answers and what ran 1`] = `
Object {
  "answers": Array [
    "begin: - open",
    "commit: sig idle",
  ],
  "ran": Array [
    "p/begin:b",
    "p/commit:c",
  ],
}
`

exports[`packages/pooler/test/session/session.test.ts > TAP > primary read, connection lost > answers and what ran 1`] = `
Object {
  "answers": Array [
    "read: sig idle",
  ],
  "ran": Array [
    "p/begin",
    "p/begin",
    "p/read:r",
    "p/rollback",
  ],
}
`

exports[`packages/pooler/test/session/session.test.ts > TAP > read-only transaction on a bounded route > answers and what ran 1`] = `
Object {
  "answers": Array [
    "begin: - open",
    "read: sig open",
    "commit: sig idle",
  ],
  "ran": Array [
    "r1/begin:b",
    "r1/read:r",
    "r1/commit:c",
  ],
}
`

exports[`packages/pooler/test/session/session.test.ts > TAP > rollback > answers and what ran 1`] = `
Object {
  "answers": Array [
    "begin: - open",
    "write: sig open",
    "rollback: - idle",
    "read: sig idle",
  ],
  "ran": Array [
    "p/begin:b",
    "p/write:w",
    "p/rollback",
    "p/begin",
    "p/read:r",
    "p/rollback",
  ],
}
`

exports[`packages/pooler/test/session/session.test.ts > TAP > session values and prepared statements follow their session across shared connections > must match snapshot 1`] = `
Array [
  "p/set",
  "p/prepare",
  "p/execute:e1",
  "p/reset",
  "p/write:w",
  "p/set",
  "p/prepare",
  "p/execute:e2",
]
`

exports[`packages/pooler/test/session/session.test.ts > TAP > transaction > answers and what ran 1`] = `
Object {
  "answers": Array [
    "begin: - open",
    "read: sig open",
    "write: sig open",
    "commit: sig idle",
  ],
  "ran": Array [
    "p/begin:b",
    "p/read:r",
    "p/write:w",
    "p/commit:c",
  ],
}
`

exports[`packages/pooler/test/session/session.test.ts > TAP > transaction commands out of order > answers and what ran 1`] = `
Object {
  "answers": Array [
    "commit: malformed idle",
    "rollback: malformed idle",
    "begin: - open",
    "begin: malformed open",
    "rollback: - idle",
  ],
  "ran": Array [],
}
`

exports[`packages/pooler/test/session/session.test.ts > TAP > transaction without writes, commit answer lost > answers and what ran 1`] = `
Object {
  "answers": Array [
    "begin: - open",
    "read: sig open",
    "commit: aborted idle",
  ],
  "ran": Array [
    "p/begin:b",
    "p/read:r",
  ],
}
`

exports[`packages/pooler/test/session/session.test.ts > TAP > transaction, commit answer lost > answers and what ran 1`] = `
Object {
  "answers": Array [
    "begin: - open",
    "write: sig open",
    "commit: in-doubt idle",
  ],
  "ran": Array [
    "p/begin:b",
    "p/write:w",
    "p/commit:c",
  ],
}
`

exports[`packages/pooler/test/session/session.test.ts > TAP > transaction, commit timed out > answers and what ran 1`] = `
Object {
  "answers": Array [
    "begin: - open",
    "write: sig open",
    "commit: timeout idle",
  ],
  "ran": Array [
    "p/begin:b",
    "p/write:w",
  ],
}
`

exports[`packages/pooler/test/session/session.test.ts > TAP > transaction, connection lost at a write > answers and what ran 1`] = `
Object {
  "answers": Array [
    "begin: - open",
    "write: aborted failed",
    "read: malformed failed",
    "commit: aborted idle",
  ],
  "ran": Array [
    "p/begin:b",
    "p/write:w",
  ],
}
`

exports[`packages/pooler/test/session/session.test.ts > TAP > transaction, write refused as busy once > answers and what ran 1`] = `
Object {
  "answers": Array [
    "begin: - open",
    "write: sig open",
    "commit: sig idle",
  ],
  "ran": Array [
    "p/begin:b",
    "p/write:w",
    "p/commit:c",
  ],
}
`

exports[`packages/pooler/test/session/session.test.ts > TAP > unknown prepared statement > answers and what ran 1`] = `
Object {
  "answers": Array [
    "execute: unknown-statement idle",
  ],
  "ran": Array [],
}
`

exports[`packages/pooler/test/session/session.test.ts > TAP > write > answers and what ran 1`] = `
Object {
  "answers": Array [
    "write: sig idle",
  ],
  "ran": Array [
    "p/write:w",
  ],
}
`

exports[`packages/pooler/test/session/session.test.ts > TAP > write, answer lost after it ran > answers and what ran 1`] = `
Object {
  "answers": Array [
    "write: in-doubt idle",
  ],
  "ran": Array [
    "p/write:w",
  ],
}
`

exports[`packages/pooler/test/session/session.test.ts > TAP > write, answer timed out after it ran > answers and what ran 1`] = `
Object {
  "answers": Array [
    "write: timeout idle",
  ],
  "ran": Array [
    "p/write:w",
  ],
}
`

exports[`packages/pooler/test/session/session.test.ts > TAP > write, busy twice > answers and what ran 1`] = `
Object {
  "answers": Array [
    "write: sig idle",
  ],
  "ran": Array [
    "p/write:w",
  ],
}
`

exports[`packages/pooler/test/session/session.test.ts > TAP > write, connection lost before it ran > answers and what ran 1`] = `
Object {
  "answers": Array [
    "write: in-doubt idle",
  ],
  "ran": Array [],
}
`
