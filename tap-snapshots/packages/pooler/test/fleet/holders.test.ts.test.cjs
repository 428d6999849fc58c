/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/pooler/test/fleet/holders.test.ts > TAP > the shares of all holders stay within the connection limit at every fleet size > must match snapshot 1`] = `
Array [
  "1 hosts: 1 holders, 45 each, no forwarding",
  "2 hosts: 2 holders, 22 each, no forwarding",
  "4 hosts: 4 holders, 11 each, no forwarding",
  "7 hosts: 7 holders, 6 each, no forwarding",
  "9 hosts: 9 holders, 5 each, no forwarding",
  "13 hosts: 13 holders, 3 each, no forwarding",
  "17 hosts: 17 holders, 2 each, no forwarding",
  "30 hosts: 4 holders, 11 each",
  "72 hosts: 4 holders, 11 each",
  "300 hosts: 4 holders, 11 each",
  "4900 hosts: 4 holders, 11 each",
]
`
