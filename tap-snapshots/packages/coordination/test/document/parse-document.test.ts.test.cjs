/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/coordination/test/document/parse-document.test.ts > TAP > mistakes are listed: a sequence > must match snapshot 1`] = `
Array [
  Object {
    "expected": "an object with the sections databases, applications, operations, monitor",
    "path": "document",
    "remedy": "Write each section under its name.",
    "seen": "[1]",
  },
]
`

exports[`packages/coordination/test/document/parse-document.test.ts > TAP > mistakes are listed: contradicting limits > must match snapshot 1`] = `
Array [
  Object {
    "expected": "less than slots (50)",
    "line": 1,
    "path": "databases.a.longSlots",
    "remedy": "Set longSlots to at most 49, so that short work always has a slot, or raise slots.",
    "seen": "50",
  },
  Object {
    "expected": "at least 156 for 50 slots: the equal share of each of the 3 ranks must cover the slots and 2 reserved connections",
    "line": 1,
    "path": "databases.a.connections",
    "remedy": "Raise connections to 156, or lower slots.",
    "seen": "30",
  },
  Object {
    "expected": "less than requestTimeoutMs (1000)",
    "line": 3,
    "path": "operations.unconfirmedBoundMs",
    "remedy": "Lower unconfirmedBoundMs or raise requestTimeoutMs; otherwise writes time out with an unknown outcome before they are refused.",
    "seen": "2000",
  },
  Object {
    "expected": "at least requestTimeoutMs (1000)",
    "line": 4,
    "path": "operations.drainMs",
    "remedy": "Raise drainMs or lower requestTimeoutMs; otherwise a shutdown interrupts requests in flight.",
    "seen": "500",
  },
  Object {
    "expected": "at least 10 times databases.a.rttMs (900)",
    "line": 2,
    "path": "operations.detectionMs",
    "remedy": "Raise detectionMs to 9000, or correct rttMs; otherwise ordinary delays look like a failed primary.",
    "seen": "1000",
  },
  Object {
    "expected": "one of the databases a",
    "line": 2,
    "path": "monitor.objectives.0.database",
    "remedy": "Correct the name, or add the database to the section databases first.",
    "seen": "\\"b\\"",
  },
  Object {
    "expected": "a threshold in ms for kind latency",
    "line": 2,
    "path": "monitor.objectives.0.thresholdMs",
    "remedy": "Add thresholdMs.",
    "seen": "nothing",
  },
  Object {
    "expected": "a name that no other objective has",
    "line": 3,
    "path": "monitor.objectives.1.name",
    "remedy": "Rename the objective.",
    "seen": "\\"a\\"",
  },
  Object {
    "expected": "no threshold for kind availability",
    "line": 3,
    "path": "monitor.objectives.1.thresholdMs",
    "remedy": "Remove thresholdMs or set kind to latency.",
    "seen": "2000",
  },
  Object {
    "expected": "at most operations.requestTimeoutMs (1000)",
    "line": 3,
    "path": "monitor.objectives.1.thresholdMs",
    "remedy": "Lower thresholdMs; every slower request has already timed out.",
    "seen": "2000",
  },
]
`

exports[`packages/coordination/test/document/parse-document.test.ts > TAP > mistakes are listed: duplicate entry > must match snapshot 1`] = `
Array [
  Object {
    "expected": "each key once in its object",
    "line": 2,
    "path": "databases.a",
    "remedy": "Remove or rename one of the two entries with this key.",
    "seen": "\\"a: {slots: 6, connections: 35}\\"",
  },
]
`

exports[`packages/coordination/test/document/parse-document.test.ts > TAP > mistakes are listed: duplicate key within an entry > must match snapshot 1`] = `
Array [
  Object {
    "expected": "each key once in its object",
    "line": 3,
    "path": "databases",
    "remedy": "Remove or rename one of the two entries with this key.",
    "seen": "\\"a: {slots: 5, slots: 6, connections: 35}\\"",
  },
]
`

exports[`packages/coordination/test/document/parse-document.test.ts > TAP > mistakes are listed: duplicate quoted entry > must match snapshot 1`] = `
Array [
  Object {
    "expected": "each key once in its object",
    "line": 2,
    "path": "databases",
    "remedy": "Remove or rename one of the two entries with this key.",
    "seen": "\\"\\\\\\"a\\\\\\": {slots: 6, connections: 35}\\"",
  },
]
`

exports[`packages/coordination/test/document/parse-document.test.ts > TAP > mistakes are listed: later schema version > must match snapshot 1`] = `
Array [
  Object {
    "expected": "1",
    "path": "schemaVersion",
    "remedy": "Update this program to one that knows this schema version.",
    "seen": "2",
  },
]
`

exports[`packages/coordination/test/document/parse-document.test.ts > TAP > mistakes are listed: missing section > must match snapshot 1`] = `
Array [
  Object {
    "expected": "the section applications",
    "path": "applications",
    "remedy": "Add the section.",
    "seen": "nothing",
  },
  Object {
    "expected": "the section operations",
    "path": "operations",
    "remedy": "Add the section.",
    "seen": "nothing",
  },
  Object {
    "expected": "the section monitor",
    "path": "monitor",
    "remedy": "Add the section.",
    "seen": "nothing",
  },
]
`

exports[`packages/coordination/test/document/parse-document.test.ts > TAP > mistakes are listed: no databases > must match snapshot 1`] = `
Array [
  Object {
    "expected": "at least one database",
    "line": undefined,
    "path": "databases",
    "remedy": "Add the databases that the proxies serve.",
    "seen": "{}",
  },
]
`

exports[`packages/coordination/test/document/parse-document.test.ts > TAP > mistakes are listed: reference without an anchor > must match snapshot 1`] = `
Array [
  Object {
    "expected": "at most 100 uses of aliases, each with its anchor",
    "path": "databases",
    "remedy": "Write the values out: Unresolved alias (the anchor must be set before the alias): b",
    "seen": "aliases",
  },
]
`

exports[`packages/coordination/test/document/parse-document.test.ts > TAP > mistakes are listed: text that is not YAML > must match snapshot 1`] = `
Array [
  Object {
    "expected": "valid YAML 1.2",
    "line": 2,
    "path": "applications",
    "remedy": "Correct the text at this line: Flow map in block collection must be sufficiently indented and end with a } at line 2, column 1:",
    "seen": "\\"\\"",
  },
]
`

exports[`packages/coordination/test/document/parse-document.test.ts > TAP > mistakes are listed: unknown and missing fields > must match snapshot 1`] = `
Array [
  Object {
    "expected": "at least 1 entry",
    "line": 2,
    "path": "operations.teams.databases",
    "remedy": "Set the field to at least 1 entry.",
    "seen": "[]",
  },
  Object {
    "expected": "an array",
    "line": 2,
    "path": "operations.teams.applications",
    "remedy": "Add the field.",
    "seen": "nothing",
  },
  Object {
    "expected": "an array",
    "line": 2,
    "path": "operations.teams.operations",
    "remedy": "Add the field.",
    "seen": "nothing",
  },
  Object {
    "expected": "an array",
    "line": 2,
    "path": "operations.teams.monitor",
    "remedy": "Add the field.",
    "seen": "nothing",
  },
  Object {
    "expected": "one of the fields databases, applications, operations, monitor",
    "line": 2,
    "path": "operations.teams.x",
    "remedy": "Remove the field.",
    "seen": "1",
  },
  Object {
    "expected": "one of the fields requestTimeoutMs, detectionMs, unconfirmedBoundMs, drainMs, leavingMs, documentConfirmationBoundMs, staleDocumentMakesUnready, teams",
    "line": 1,
    "path": "operations.requestTimoutMs",
    "remedy": "Rename the field to requestTimeoutMs, or remove it.",
    "seen": "5",
  },
]
`

exports[`packages/coordination/test/document/parse-document.test.ts > TAP > mistakes are listed: unknown section > must match snapshot 1`] = `
Array [
  Object {
    "expected": "one of the sections databases, applications, operations, monitor",
    "path": "others",
    "remedy": "Remove or rename the section.",
    "seen": "\\"\\"",
  },
]
`

exports[`packages/coordination/test/document/parse-document.test.ts > TAP > mistakes are listed: whole text > must match snapshot 1`] = `
Array [
  Object {
    "expected": "each key once in its object",
    "line": 2,
    "path": "document",
    "remedy": "Remove or rename one of the two entries with this key.",
    "seen": "\\"databases: {}\\"",
  },
]
`

exports[`packages/coordination/test/document/parse-document.test.ts > TAP > mistakes are listed: wrong name > must match snapshot 1`] = `
Array [
  Object {
    "expected": "a name of lower-case letters, digits and hyphens that begins with a letter, at most 63 characters",
    "line": 1,
    "path": "databases.Ledger",
    "remedy": "Rename the entry.",
    "seen": "\\"Ledger\\"",
  },
]
`

exports[`packages/coordination/test/document/parse-document.test.ts > TAP > mistakes are listed: wrong values > must match snapshot 1`] = `
Array [
  Object {
    "expected": "a string",
    "line": 2,
    "path": "monitor.words.payment",
    "remedy": "Set the field to a string.",
    "seen": "5",
  },
  Object {
    "expected": "a name of lower-case letters, digits and hyphens that begins with a letter, at most 63 characters",
    "line": 1,
    "path": "monitor.objectives.0.name",
    "remedy": "Set the field to a name of lower-case letters, digits and hyphens that begins with a letter, at most 63 characters.",
    "seen": "\\"A\\"",
  },
  Object {
    "expected": "one of availability, latency",
    "line": 1,
    "path": "monitor.objectives.0.kind",
    "remedy": "Set the field to one of availability, latency.",
    "seen": "\\"speed\\"",
  },
  Object {
    "expected": "at most 0.999999",
    "line": 1,
    "path": "monitor.objectives.0.targetRatio",
    "remedy": "Set the field to at most 0.999999.",
    "seen": "2",
  },
  Object {
    "expected": "a number",
    "line": 1,
    "path": "monitor.objectives.0.windowDays",
    "remedy": "Add the field.",
    "seen": "nothing",
  },
]
`

exports[`packages/coordination/test/document/parse-document.test.ts > TAP > the default document is valid in every form, with its defaults filled in > must match snapshot 1`] = `
Object {
  "applications": Object {
    "retryBudget": Object {
      "burst": 20,
      "ratio": 0.1,
    },
    "statements": Object {},
  },
  "databases": Object {
    "ledger": Object {
      "connections": 35,
      "longSlots": 1,
      "queueLength": 200,
      "requestKeyRetentionHours": 24,
      "rttMs": 1,
      "slots": 5,
    },
    "tins": Object {
      "connections": 35,
      "longSlots": 1,
      "queueLength": 200,
      "requestKeyRetentionHours": 24,
      "rttMs": 1,
      "slots": 5,
    },
  },
  "monitor": Object {
    "objectives": Array [
      Object {
        "kind": "availability",
        "name": "answered",
        "targetRatio": 0.999,
        "windowDays": 28,
      },
      Object {
        "kind": "latency",
        "name": "fast-short-work",
        "targetRatio": 0.99,
        "thresholdMs": 1000,
        "windowDays": 28,
        "workClass": "short",
      },
    ],
    "words": Object {
      "altered": "altered",
      "booking": "booking",
      "change": "accepted change",
      "database": "database",
      "doubled": "doubled",
      "lost": "lost",
      "payment": "payment",
      "refused": "refused",
    },
  },
  "operations": Object {
    "detectionMs": 1000,
    "documentConfirmationBoundMs": 60000,
    "drainMs": 30000,
    "leavingMs": 2000,
    "requestTimeoutMs": 5000,
    "staleDocumentMakesUnready": false,
    "teams": Object {
      "applications": Array [
        "application-owners",
      ],
      "databases": Array [
        "database-owners",
      ],
      "monitor": Array [
        "monitor-liaison",
      ],
      "operations": Array [
        "on-call",
      ],
    },
    "unconfirmedBoundMs": 2000,
  },
  "schemaVersion": 1,
}
`
