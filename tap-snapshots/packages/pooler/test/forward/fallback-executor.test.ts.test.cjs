/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/pooler/test/forward/fallback-executor.test.ts > TAP > where a statement runs: single > must match snapshot 1`] = `
Object {
  "calm": Array [
    "here, briefly",
    "served after 10 ms",
  ],
  "endpoints accept no more connections": Array [
    "elsewhere",
    "here",
    "elsewhere",
    "here",
    "elsewhere",
    "here",
    "elsewhere",
    "here",
    "elsewhere",
    "here",
    "elsewhere",
    "here",
    "busy endpoint-unreachable after 760 ms",
  ],
  "endpoints accept no more connections for a while": Array [
    "elsewhere",
    "here",
    "elsewhere",
    "here",
    "elsewhere",
    "here",
    "served after 310 ms",
  ],
  "found out of reach while the statement waited": Array [
    "here, briefly",
    "elsewhere",
    "served after 500 ms",
  ],
  "in doubt elsewhere: not run again here": Array [
    "elsewhere",
    "in-doubt connection-lost after 10 ms",
  ],
  "in doubt here: not run again elsewhere": Array [
    "here, briefly",
    "in-doubt connection-lost after 10 ms",
  ],
  "no other host is expected to serve": Array [
    "here",
    "busy leader-stalled after 10 ms",
  ],
  "no time left to move": Array [
    "here, briefly",
    "busy endpoint-unreachable after 980 ms",
  ],
  "overloaded: the work is not passed around": Array [
    "here, briefly",
    "busy no-connection after 10 ms",
  ],
  "primary crashed: nobody serves until a promotion": Array [
    "elsewhere",
    "here",
    "served after 710 ms",
  ],
  "primary out of reach of this host only": Array [
    "elsewhere",
    "served after 10 ms",
  ],
  "replicas out of reach, commits unconfirmed": Array [
    "here, briefly",
    "elsewhere",
    "served after 10 ms",
  ],
  "timed out elsewhere: not run again here": Array [
    "elsewhere",
    "timeout endpoint-silent after 10 ms",
  ],
}
`

exports[`packages/pooler/test/forward/fallback-executor.test.ts > TAP > where a statement runs: transaction > must match snapshot 1`] = `
Object {
  "calm": Array [
    "here",
    "served after 10 ms",
  ],
  "endpoints accept no more connections": Array [
    "elsewhere",
    "elsewhere abort",
    "here",
    "here abort",
    "elsewhere",
    "elsewhere abort",
    "here",
    "here abort",
    "elsewhere",
    "elsewhere abort",
    "here",
    "here abort",
    "elsewhere",
    "elsewhere abort",
    "here",
    "here abort",
    "elsewhere",
    "elsewhere abort",
    "here",
    "here abort",
    "elsewhere",
    "elsewhere abort",
    "here",
    "busy endpoint-unreachable after 760 ms",
  ],
  "endpoints accept no more connections for a while": Array [
    "elsewhere",
    "elsewhere abort",
    "here",
    "here abort",
    "elsewhere",
    "elsewhere abort",
    "here",
    "here abort",
    "elsewhere",
    "elsewhere abort",
    "here",
    "served after 310 ms",
  ],
  "found out of reach while the statement waited": Array [
    "here",
    "here abort",
    "elsewhere",
    "served after 500 ms",
  ],
  "in doubt elsewhere: not run again here": Array [
    "elsewhere",
    "in-doubt connection-lost after 10 ms",
  ],
  "in doubt here: not run again elsewhere": Array [
    "here",
    "in-doubt connection-lost after 10 ms",
  ],
  "no other host is expected to serve": Array [
    "here",
    "busy leader-stalled after 10 ms",
  ],
  "no time left to move": Array [
    "here",
    "busy endpoint-unreachable after 980 ms",
  ],
  "overloaded: the work is not passed around": Array [
    "here",
    "busy no-connection after 10 ms",
  ],
  "primary crashed: nobody serves until a promotion": Array [
    "elsewhere",
    "elsewhere abort",
    "here",
    "served after 710 ms",
  ],
  "primary out of reach of this host only": Array [
    "elsewhere",
    "served after 10 ms",
  ],
  "replicas out of reach, commits unconfirmed": Array [
    "here",
    "here abort",
    "elsewhere",
    "served after 10 ms",
  ],
  "timed out elsewhere: not run again here": Array [
    "elsewhere",
    "timeout endpoint-silent after 10 ms",
  ],
}
`
