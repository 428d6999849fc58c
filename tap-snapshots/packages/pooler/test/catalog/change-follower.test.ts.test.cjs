/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/pooler/test/catalog/change-follower.test.ts > TAP > timing of watches for the bounds of several platforms > bounds of configurations 1`] = `
Array [
  Object {
    "bound": 1500,
    "timeoutMs": 1000,
    "waitMs": 300,
  },
  Object {
    "bound": 2000,
    "timeoutMs": 1000,
    "waitMs": 300,
  },
  Object {
    "bound": 3000,
    "timeoutMs": 2000,
    "waitMs": 1300,
  },
  Object {
    "bound": 5000,
    "timeoutMs": 4000,
    "waitMs": 3300,
  },
  Object {
    "bound": 9000,
    "timeoutMs": 8000,
    "waitMs": 7300,
  },
]
`

exports[`packages/pooler/test/catalog/change-follower.test.ts > TAP > timing of watches for the bounds of several platforms > drain bounds 1`] = `
Array [
  Object {
    "bound": 3000,
    "leavingPrimaryGraceMs": 1715,
    "noticeMs": 1285,
    "timeoutMs": 1000,
    "waitMs": 300,
  },
  Object {
    "bound": 5000,
    "leavingPrimaryGraceMs": 2858,
    "noticeMs": 2142,
    "timeoutMs": 1142,
    "waitMs": 442,
  },
  Object {
    "bound": 7000,
    "leavingPrimaryGraceMs": 4000,
    "noticeMs": 3000,
    "timeoutMs": 2000,
    "waitMs": 1300,
  },
  Object {
    "bound": 12000,
    "leavingPrimaryGraceMs": 6858,
    "noticeMs": 5142,
    "timeoutMs": 4142,
    "waitMs": 3442,
  },
]
`
