/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`platform/test/store.test.ts > TAP > valid and invalid objects of other writers are decoded > configurations 1`] = `
Array [
  Object {
    "configuration": Object {
      "routes": Array [
        Object {
          "consistency": "primary",
          "database": "d",
          "latencyObjectiveMs": 200,
          "maxStalenessMs": 0,
          "priority": 1,
          "service": "ledger",
          "statementTimeoutMs": 1000,
        },
      ],
      "services": Array [
        Object {
          "maxConnections": 34,
          "service": "ledger",
          "syncReplicas": 1,
        },
      ],
      "transactionIdleMs": 3000,
      "version": 3,
    },
    "mistakes": Array [
      "type: Invalid option: expected one of \\"primary\\"|\\"bounded_staleness\\"|\\"read_your_writes\\"",
      ": Invalid input: expected object, received number",
      "name: Invalid input: expected string, received undefined; max_conns: Invalid input: expected number, received undefined",
    ],
  },
  "rejected",
]
`

exports[`platform/test/store.test.ts > TAP > valid and invalid objects of other writers are decoded > entries 1`] = `
Array [
  Object {
    "address": "10.0.0.1:80",
    "endpointId": "i-1",
    "failureDomain": "a",
    "role": "primary",
    "service": "ledger",
    "slots": 5,
    "startedUnixMs": 12,
    "state": "ready",
  },
  "rejected",
  "rejected",
  "rejected",
  "rejected",
  "rejected",
  "rejected",
  "rejected",
  "rejected",
  "rejected",
]
`
