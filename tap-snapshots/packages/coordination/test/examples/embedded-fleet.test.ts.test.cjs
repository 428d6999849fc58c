/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/coordination/test/examples/embedded-fleet.test.ts > TAP > the example of an embedded fleet > must match snapshot 1`] = `
members: host-1, host-2, host-3, host-4, host-5 know each other after N ms
document: version 1 in force on 5 members, 2 of them watch the platform
document: version 2 in force everywhere after N ms, slots 6 6 6 6 6
token: ledger, term 1, index 7
altered token: forged-session-token
failure: host-1 is dead for 4 members after N ms
promotion: host-2 promoted c in term 2; host-3 gave up (superseded)
group: term 2, primary c, established

`
