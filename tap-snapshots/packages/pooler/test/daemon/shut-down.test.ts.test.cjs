/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/pooler/test/daemon/shut-down.test.ts > TAP > the stages of a shutdown > must match snapshot 1`] = `
Object {
  "a connection that never becomes idle": Array [
    "0 begin shutdown",
    "2200 close when idle",
    "3000 abort idle transactions",
    "3000 close when idle",
    "5300 answer remaining statements",
    "5300 stop listening",
    "5300 stop pooler",
  ],
  "a statement that runs long": Array [
    "0 begin shutdown",
    "2200 close when idle",
    "3000 abort idle transactions",
    "3000 close when idle",
    "4000 answer remaining statements",
    "4000 stop listening",
    "4000 stop pooler",
  ],
  "a transaction that ends within its part of the grace period": Array [
    "0 begin shutdown",
    "2200 close when idle",
    "2700 abort idle transactions",
    "2700 close when idle",
    "2700 answer remaining statements",
    "2700 stop listening",
    "2700 stop pooler",
  ],
  "all connections closed at once": Array [
    "0 begin shutdown",
    "2200 close when idle",
    "2200 abort idle transactions",
    "2200 close when idle",
    "2200 answer remaining statements",
    "2200 stop listening",
    "2200 stop pooler",
  ],
}
`
