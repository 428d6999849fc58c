/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/coordination/test/timer/manual-timer-service.test.ts > TAP > due callbacks run in order of their due time > must match snapshot 1`] = `
Array [
  "tick",
  "early",
  "tick",
  "late",
]
`
