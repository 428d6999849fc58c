/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/proxy/test/daemon/settings.test.ts > TAP > invalid settings > duplicate key 1`] = `
The settings have 1 mistake(s); correct them and start again.
  Map keys must be unique at line 2, column 1.

`

exports[`packages/proxy/test/daemon/settings.test.ts > TAP > invalid settings > empty file 1`] = `
The settings have 4 mistake(s); correct them and start again.
  hostId: Invalid input: expected string, received undefined (seen: nothing)
  failureDomain: Invalid input: expected string, received undefined (seen: nothing)
  platformUrl: expected a URL such as http://10.0.0.1:8400 (seen: nothing)
  tokenKeys: expected at least one key of 16 characters or more (seen: nothing)

`

exports[`packages/proxy/test/daemon/settings.test.ts > TAP > invalid settings > not YAML 1`] = `
The settings have 1 mistake(s); correct them and start again.
  Flow sequence in block collection must be sufficiently indented and end with a ] at line 2, column 1.

`

exports[`packages/proxy/test/daemon/settings.test.ts > TAP > invalid settings > several mistakes 1`] = `
The settings have 8 mistake(s); correct them and start again.
  hostId: Too small: expected string to have >=1 characters (seen: "")
  failureDomain: Invalid input: expected string, received undefined (seen: nothing)
  platformUrl: expected a URL such as http://10.0.0.1:8400 (seen: "nowhere")
  seeds.0: expected ip:port (seen: "here")
  tokenKeys.1: Too small: expected string to have >=16 characters (seen: hidden)
  policy: Invalid option: expected one of "fair"|"fifo" (seen: "random")
  detectionMs: Too small: expected number to be >=100 (seen: 1)
  unknownKey: no such setting; remove it or correct its name (seen: 1)

`
