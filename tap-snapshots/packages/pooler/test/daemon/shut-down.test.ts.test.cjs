/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/pooler/test/daemon/shut-down.test.ts > TAP > the stages of a stop > must match snapshot 1`] = `
Object {
  "a connection never comes to rest": Array [
    "0 begin shutdown",
    "2200 close idle",
    "3000 abort transactions",
    "3000 close idle",
    "5300 stop listening",
    "5300 stop pooler",
  ],
  "a statement runs for long": Array [
    "0 begin shutdown",
    "2200 close idle",
    "3000 abort transactions",
    "3000 close idle",
    "4000 stop listening",
    "4000 stop pooler",
  ],
  "a transaction ends within its part of the grace": Array [
    "0 begin shutdown",
    "2200 close idle",
    "2700 abort transactions",
    "2700 close idle",
    "2700 stop listening",
    "2700 stop pooler",
  ],
  "all closed at once": Array [
    "0 begin shutdown",
    "2200 close idle",
    "2200 abort transactions",
    "2200 close idle",
    "2200 stop listening",
    "2200 stop pooler",
  ],
}
`
