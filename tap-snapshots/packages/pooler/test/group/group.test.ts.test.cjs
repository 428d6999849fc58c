/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/pooler/test/group/group.test.ts > TAP > how long a draining primary gets statements depends on the age of the catalog before the change > must match snapshot 1`] = `
Object {
  "after a long outage": NaN,
  "after a silent watch": 900,
  "after an idle watch": 2100,
  "change received at once": 4900,
  "draining since before this process started": NaN,
}
`
