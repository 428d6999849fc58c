/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/proxy/test/settings/settings.test.ts > TAP > mistakes in the settings > a duplicate token key, which must not be printed 1`] = `
The settings have 1 mistake(s); correct them and start again.
  Map keys must be unique at line 2, column 1.

`

exports[`packages/proxy/test/settings/settings.test.ts > TAP > mistakes in the settings > a list instead of a mapping 1`] = `
The settings have 1 mistake(s); correct them and start again.
  (root): Invalid input: expected object, received array (seen: ["hostId"])

`

exports[`packages/proxy/test/settings/settings.test.ts > TAP > mistakes in the settings > a short token key, which must not be printed 1`] = `
The settings have 1 mistake(s); correct them and start again.
  tokenKeys.0: Too small: expected string to have >=16 characters (seen: hidden)

`

exports[`packages/proxy/test/settings/settings.test.ts > TAP > mistakes in the settings > several fields at once, an unknown key and no token key 1`] = `
The settings have 9 mistake(s); correct them and start again.
  hostId: Too small: expected string to have >=1 characters (seen: "")
  failureDomain: Invalid input: expected string, received undefined (seen: nothing)
  platformUrl: expected a URL such as http://10.0.0.1:8400 (seen: "platform")
  seeds.0: expected ip:port (seen: "10.0.0.1")
  policy: Invalid option: expected one of "fair"|"fifo" (seen: "lifo")
  detectionMs: Invalid input: expected number, received string (seen: "5s")
  drainMs: Too big: expected number to be <=600000 (seen: 700000)
  failureDomian: no such setting; remove it or correct its name (seen: "zone-1")
  tokenKeys: expected at least one key of 16 characters or more (seen: nothing)

`
