/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/pooler/test/catalog/change-follower.test.ts > TAP > watch timing for the bounds of several platforms > configuration bounds 1`] = `
Array [
  Object {
    "bound": 1500,
    "timeoutMs": 800,
    "waitMs": 300,
  },
  Object {
    "bound": 2000,
    "timeoutMs": 1300,
    "waitMs": 800,
  },
  Object {
    "bound": 3000,
    "timeoutMs": 2300,
    "waitMs": 1800,
  },
  Object {
    "bound": 5000,
    "timeoutMs": 4300,
    "waitMs": 3800,
  },
  Object {
    "bound": 9000,
    "timeoutMs": 8300,
    "waitMs": 7800,
  },
]
`

exports[`packages/pooler/test/catalog/change-follower.test.ts > TAP > watch timing for the bounds of several platforms > drain bounds 1`] = `
Array [
  Object {
    "bound": 3000,
    "timeoutMs": 800,
    "waitMs": 300,
  },
  Object {
    "bound": 5000,
    "timeoutMs": 1300,
    "waitMs": 800,
  },
  Object {
    "bound": 7000,
    "timeoutMs": 3300,
    "waitMs": 2800,
  },
  Object {
    "bound": 12000,
    "timeoutMs": 8300,
    "waitMs": 7800,
  },
]
`
