/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/coordination/test/document/edit-faults.test.ts > TAP > a refused edit shows who changed the section, and the difference > must match snapshot 1`] = `
Object {
  "difference": Array [
    Object {
      "added": Array [],
      "line": 1,
      "removed": Array [
        "# other-1",
      ],
    },
    Object {
      "added": Array [
        "  connections: 40",
      ],
      "line": 4,
      "removed": Array [
        "  connections: 35",
      ],
    },
  ],
  "message": "Section databases was changed since version 1: version 2 by database-owners (new ledger). Make the edit again on the current text.",
}
`
