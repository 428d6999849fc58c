/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/ctl/test/audit/count-period.test.ts > TAP > audit prints the counters in the words of the monitor and their limits > must match snapshot 1`] = `
accepted change: 2 in the period
database ledger: lane and payment, acknowledged writes together: 3; refused: 0; unknown outcomes: 0; promotions: 0
Counted by the proxies, from samples between TIME and TIME.
Not known from counters: missing, doubled, altered. They take a comparison of the callers' answers with the endpoints' logs.
Not told apart: lane and payment; a repeated request counts once for each answer; statements of transactions are not counted.
Missing: requests before the first sample, and those of a proxy between its last sample and its end. Between two samples an even rate is assumed.
Lines of the samples file that cannot be read and are left out: 1.

`
