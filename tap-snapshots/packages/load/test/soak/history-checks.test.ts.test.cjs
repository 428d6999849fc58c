/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/load/test/soak/history-checks.test.ts > TAP > each check finds its violation > must match snapshot 1`] = `
Array [
  Array [
    "no violation",
    Array [],
  ],
  Array [
    "an acknowledged write is missing",
    Array [
      "lost w1",
    ],
  ],
  Array [
    "a write of an acknowledged transaction is missing",
    Array [
      "lost w3",
    ],
  ],
  Array [
    "a write is in two commits",
    Array [
      "doubled w1",
    ],
  ],
  Array [
    "an instance ran other data",
    Array [
      "altered w1",
    ],
  ],
  Array [
    "an instance ran a statement that no client sent",
    Array [
      "altered x1",
    ],
  ],
  Array [
    "an instance ran another shape",
    Array [
      "altered r1",
    ],
  ],
  Array [
    "an instance ran another text with the same fields",
    Array [
      "altered w1",
    ],
  ],
  Array [
    "an instance ran a prepared statement under another name",
    Array [],
  ],
  Array [
    "an instance ran a part of the shape as the item",
    Array [
      "altered r1",
    ],
  ],
  Array [
    "an instance received a message that the grammar does not allow",
    Array [
      "malformed ",
    ],
  ],
  Array [
    "valid text was refused as malformed",
    Array [
      "refused-valid r2",
    ],
  ],
  Array [
    "the answer has rows that only look the same when they are joined",
    Array [
      "mixed r1",
    ],
  ],
  Array [
    "the answer has other rows",
    Array [
      "mixed r1",
    ],
  ],
  Array [
    "the answer does not have the signature of an instance",
    Array [
      "mixed w1",
    ],
  ],
  Array [
    "a refused write is in the log",
    Array [
      "false-not-run w1",
    ],
  ],
  Array [
    "the writes of a refused transaction are in the log",
    Array [
      "false-not-run w2",
      "false-not-run w3",
    ],
  ],
  Array [
    "a read misses an acknowledged commit",
    Array [
      "stale r1",
    ],
  ],
  Array [
    "a read may miss a commit that is newer than the allowed staleness",
    Array [],
  ],
  Array [
    "a read misses a commit of its own session",
    Array [
      "stale r1",
    ],
  ],
  Array [
    "a statement ran in another client's transaction",
    Array [
      "pinning w1",
    ],
  ],
  Array [
    "a statement ran outside its transaction",
    Array [
      "pinning w3",
    ],
  ],
  Array [
    "a statement ran with the values of another session",
    Array [
      "pinning r1",
    ],
  ],
  Array [
    "another service ran the statement",
    Array [
      "routing w1",
    ],
  ],
  Array [
    "a statement reached an instance after the time limit of its drain",
    Array [
      "late-to-drained w1",
    ],
  ],
  Array [
    "a statement reached a draining instance late because of a fault",
    Array [],
  ],
  Array [
    "a stopping host closed the connection of a statement that ran",
    Array [
      "cut-at-stop r1",
    ],
  ],
  Array [
    "a stopping host closed the connection of a statement that waited",
    Array [
      "cut-at-stop r2",
    ],
  ],
  Array [
    "a stopping host closed an idle connection just as a statement was sent",
    Array [],
  ],
]
`

exports[`packages/load/test/soak/history-checks.test.ts > TAP > the time limit of a configuration applies again once the fault has been over for the stable time > must match snapshot 1`] = `
Object {
  "changed during the fault, sent before the limit applies": false,
  "changed during the fault, sent late": true,
  "changed just after the fault, sent before the limit applies": false,
  "changed just after the fault, sent late": true,
  "sent within the limit": false,
  "undisturbed change, sent during the next fault": false,
  "undisturbed, sent late": true,
}
`
