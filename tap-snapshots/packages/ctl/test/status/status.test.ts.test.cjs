/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/ctl/test/status/status.test.ts > TAP > status reads the proxies and ends with 1 if something needs attention > must match snapshot 1`] = `
proxy  address  ready  document   confirmed  state
p1     ADDRESS  yes    version 7  1 s ago    ok

database  acting owner  term  primary   state
ledger    p1            3     ledger-1  ok

{"event":"status","needsAttention":true,"proxies":[{"address":"ADDRESS","hostId":"p1","ready":true,"documentVersion":7,"confirmationAgeMs":1200,"attention":[]},{"address":"ADDRESS","hostId":"p2","ready":false,"documentVersion":7,"confirmationAgeMs":1200,"attention":["not ready"]}],"databases":[{"database":"ledger","actingOwner":"p1","term":3,"primary":"ledger-1","unreachable":[],"attention":[]}]}

proxy  address  ready  document   confirmed  state
?      ADDRESS  no     version 0  ?          no status (another form than a proxy's status page); check the address  and the proxy

No proxy that answered owns a database.

`
