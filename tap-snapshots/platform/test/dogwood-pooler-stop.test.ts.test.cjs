/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`platform/test/dogwood-pooler-stop.test.ts > TAP > a shutdown answers statements that outlast the grace period > must match snapshot 1`] = `
Array [
  "ERROR INDOUBT this host stopped before the instance had answered; read back on a new connection before repeating | READY I -",
  "ERROR ABORTED this host is stopping and rolled the transaction back; repeat it on a new connection | READY I -",
  "ERROR ABORTED this host is stopping and rolled the transaction back; repeat it on a new connection | READY T -",
]
`
