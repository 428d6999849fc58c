/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/load/test/soak/history-checks.test.ts > TAP > a configuration is late once the fault has been over for the stable time, whenever the change was made > must match snapshot 1`] = `
Object {
  "in calm, asked in the next fault": false,
  "in calm, asked late": true,
  "in the fault, asked late": true,
  "in the fault, asked too early": false,
  "just after it, asked late": true,
  "just after it, asked too early": false,
  "within the bound": false,
}
`

exports[`packages/load/test/soak/history-checks.test.ts > TAP > each check finds its violation > must match snapshot 1`] = `
Array [
  Array [
    "nothing wrong",
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
    "an instance ran what nobody sent",
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
    "the answer has other rows",
    Array [
      "mixed r1",
    ],
  ],
  Array [
    "the answer has no signature of an instance",
    Array [
      "mixed w1",
    ],
  ],
  Array [
    "a refused write is kept",
    Array [
      "false-not-run w1",
    ],
  ],
  Array [
    "a write of a refused transaction is kept",
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
    "a read within its allowed age may miss a commit",
    Array [],
  ],
  Array [
    "a read misses its own session's commit",
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
    "a statement ran with values of another session",
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
    "a statement reached an instance long after it announced that it leaves",
    Array [
      "late-to-drained w1",
    ],
  ],
  Array [
    "a statement reached a leaving instance late because of a fault",
    Array [],
  ],
  Array [
    "a stop cut a statement that ran",
    Array [
      "cut-at-stop r1",
    ],
  ],
  Array [
    "a stop cut a statement that waited",
    Array [
      "cut-at-stop r2",
    ],
  ],
  Array [
    "a statement crossed the close of its resting connection",
    Array [],
  ],
]
`
