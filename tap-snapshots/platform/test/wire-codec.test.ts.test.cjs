/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`platform/test/wire-codec.test.ts > TAP > no connection is opened under a name that is no word > must match snapshot 1`] = `
Array [
  Object {
    "kind": "unreachable",
    "message": "field 2 of STARTUP is empty or holds a character that the protocol cannot carry there; correct it",
  },
  Object {
    "kind": "unreachable",
    "message": "field 2 of STARTUP is empty or holds a character that the protocol cannot carry there; correct it",
  },
  Object {
    "kind": "unreachable",
    "message": "field 2 of STARTUP is empty or holds a character that the protocol cannot carry there; correct it",
  },
  Object {
    "kind": "unreachable",
    "message": "field 2 of STARTUP is empty or holds a character that the protocol cannot carry there; correct it",
  },
]
`
