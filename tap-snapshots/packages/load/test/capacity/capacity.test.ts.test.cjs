/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/load/test/capacity/capacity.test.ts > TAP > the fitted line gives slope and intercept on either scale > must match snapshot 1`] = `
measurement  unit  values by size      slope            intercept
cost         B     1: 8, 2: 11, 8: 29  3.00 per member  5.00
cost         B     1: 1, 2: 5, 8: 13   4 per doubling   1
`
