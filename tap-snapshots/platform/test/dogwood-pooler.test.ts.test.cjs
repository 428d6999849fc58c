/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`platform/test/dogwood-pooler.test.ts > TAP > a client reads, writes and runs a transaction > must match snapshot 1`] = `
Array [
  "READY I -",
  "DATAROW none | COMPLETE signed | READY I -",
  "COMPLETE signed | READY I -",
  "DATAROW taken by Jürgen | COMPLETE signed | READY I -",
  "COMPLETE - | READY T -",
  "COMPLETE signed | READY T -",
  "COMPLETE - | READY I -",
  "COMPLETE - | READY I -",
  "COMPLETE signed | READY I -",
  "DATAROW paid | COMPLETE signed | READY I -",
  "COMPLETE - | READY I -",
  "ERROR NOSTMT no prepared statement of this name; prepare it first | READY I -",
]
`

exports[`platform/test/dogwood-pooler.test.ts > TAP > invalid input is answered with an error and other clients are served > must match snapshot 1`] = `
Array [
  "ERROR MALFORMED the first message must be STARTUP with a database | closed",
  "ERROR NODB no database of this name is configured; check the name | closed",
  "ERROR TOOBIG the message is over 1 MiB and was not run; send less | closed",
  "ERROR MALFORMED unknown statement | READY I -",
  "ERROR MALFORMED READ takes an item | READY I -",
  "ERROR MALFORMED expected QUERY or TERMINATE | READY I -",
  "ERROR TOOBIG the message is over 1 MiB and was not run; send less | closed",
]
`
