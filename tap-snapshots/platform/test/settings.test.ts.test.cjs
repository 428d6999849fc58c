/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`platform/test/settings.test.ts > TAP > settings are mapped to the names of the proxy, and all mistakes are reported at once > mistakes 1`] = `
Array [
  Object {
    "kind": "invalid",
    "message": "The settings have 3 mistake(s); correct them and start again.",
    "mistakes": Array [
      "zone: Invalid input: expected string, received number",
      "listen.front: expected ip:port",
      "internal_ports: Too small: expected array to have >=2 items",
    ],
  },
  Object {
    "kind": "invalid",
    "message": "The settings have 1 mistake(s); correct them and start again.",
    "mistakes": Array [
      "(root): Invalid input: expected object, received null",
    ],
  },
  "invalid",
]
`

exports[`platform/test/settings.test.ts > TAP > settings are mapped to the names of the proxy, and all mistakes are reported at once > valid 1`] = `
Object {
  "clients": Object {
    "host": "10.1.0.8",
    "port": 8784,
  },
  "configurationBoundMs": 3000,
  "control": Object {
    "host": "10.200.0.160",
    "port": 8783,
  },
  "drainBoundMs": 7000,
  "failureDomain": "a",
  "hostId": "front-a-1",
  "metrics": Object {
    "host": "10.1.0.8",
    "port": 7455,
  },
  "peers": Object {
    "host": "10.1.0.8",
    "port": 7440,
  },
  "readiness": Object {
    "host": "10.1.0.8",
    "port": 8785,
  },
  "store": Object {
    "host": "10.200.1.7",
    "port": 8783,
  },
  "terminationGraceMs": 6000,
}
`
