/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/coordination/test/document/document-history.test.ts > TAP > differences between any two versions are computed > must match snapshot 1`] = `
Object {
  "1 to 3": Object {
    "databases": Array [
      Object {
        "added": Array [
          "  connections: 40",
        ],
        "line": 3,
        "removed": Array [
          "  connections: 35",
        ],
      },
    ],
    "monitor": Array [
      Object {
        "added": Array [
          "# end",
        ],
        "line": 13,
        "removed": Array [],
      },
    ],
  },
  "1 to 9": "no-document",
  "2 to 2": Object {},
  "3 to 1": "no-document",
}
`
