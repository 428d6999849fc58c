/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`platform/test/wire.test.ts > TAP > commands to endpoints are formatted > must match snapshot 1`] = `
Array [
  "QUERY q1 SYNCAT 3.1207 READ 1a4\\r\\n",
  "QUERY q1 WRITE 1a4 some  data\\r\\n",
  "QUERY q1 EXECUTE w_q2c 1a4 data\\r\\n",
  "QUERY - SYNCAT 3.1207 BEGIN READ\\r\\n",
  "QUERY q2 BEGIN\\r\\n",
  "QUERY q3 COMMIT\\r\\n",
  "QUERY - PAUSE 4\\r\\n",
  "QUERY - STEPDOWN 4\\r\\n",
]
`

exports[`platform/test/wire.test.ts > TAP > statements of clients are parsed > must match snapshot 1`] = `
Array [
  Object {
    "id": "q1",
    "kind": "begin",
    "readOnly": false,
  },
  Object {
    "id": "q1",
    "kind": "begin",
    "readOnly": true,
  },
  Object {
    "id": "q1",
    "kind": "malformed",
    "reason": "BEGIN takes READ or nothing",
  },
  Object {
    "id": "q1",
    "kind": "commit",
  },
  Object {
    "id": "q1",
    "kind": "malformed",
    "reason": "COMMIT takes nothing",
  },
  Object {
    "id": "q1",
    "kind": "rollback",
  },
  Object {
    "id": "q1",
    "kind": "read",
    "text": "READ 1a4",
  },
  Object {
    "id": "q1",
    "kind": "malformed",
    "reason": "READ takes an item",
  },
  Object {
    "id": "q1",
    "kind": "write",
    "text": "WRITE 1a4 some data here",
  },
  Object {
    "id": "q1",
    "kind": "malformed",
    "reason": "WRITE takes an item and data",
  },
  Object {
    "id": "q1",
    "kind": "set",
    "name": "name",
    "value": "a value",
  },
  Object {
    "id": "q1",
    "kind": "malformed",
    "reason": "SET takes a name and a value",
  },
  Object {
    "access": "read",
    "id": "q1",
    "kind": "prepare",
    "name": "s1",
    "shape": "q2c",
  },
  Object {
    "access": "write",
    "id": "q1",
    "kind": "prepare",
    "name": "s1",
    "shape": "q2c",
  },
  Object {
    "id": "q1",
    "kind": "malformed",
    "reason": "PREPARE takes a name, READ or WRITE, and a shape",
  },
  Object {
    "id": "q1",
    "kind": "malformed",
    "reason": "PREPARE takes a name, READ or WRITE, and a shape",
  },
  Object {
    "argument": "1a4 data",
    "id": "q1",
    "kind": "execute",
    "name": "s1",
  },
  Object {
    "argument": "1a4",
    "id": "q1",
    "kind": "execute",
    "name": "s1",
  },
  Object {
    "id": "q1",
    "kind": "malformed",
    "reason": "EXECUTE takes a name and an item",
  },
  Object {
    "id": "q1",
    "kind": "deallocate",
    "name": "s1",
  },
  Object {
    "id": "q1",
    "kind": "malformed",
    "reason": "DEALLOC takes a name",
  },
  Object {
    "id": "q1",
    "kind": "malformed",
    "reason": "unknown statement",
  },
  Object {
    "id": "q1",
    "kind": "malformed",
    "reason": "unknown statement",
  },
]
`

exports[`platform/test/wire.test.ts > TAP > statements that another party could read differently are refused > must match snapshot 1`] = `
Array [
  Array [
    "COMMIT ",
    Object {
      "id": "q1",
      "kind": "malformed",
      "reason": "COMMIT takes nothing",
    },
  ],
  Array [
    "BEGIN ",
    Object {
      "id": "q1",
      "kind": "malformed",
      "reason": "BEGIN takes READ or nothing",
    },
  ],
  Array [
    "ROLLBACK ",
    Object {
      "id": "q1",
      "kind": "malformed",
      "reason": "ROLLBACK takes nothing",
    },
  ],
  Array [
    "READ ",
    Object {
      "id": "q1",
      "kind": "malformed",
      "reason": "READ takes an item",
    },
  ],
  Array [
    "READ a\\rb",
    Object {
      "id": "q1",
      "kind": "malformed",
      "reason": "a statement is one line without CR and LF in it",
    },
  ],
  Array [
    String(
      READ a
      QUERY q2 READ b
    ),
    Object {
      "id": "q1",
      "kind": "malformed",
      "reason": "a statement is one line without CR and LF in it",
    },
  ],
  Array [
    "READ Ċ",
    Object {
      "id": "q1",
      "kind": "malformed",
      "reason": "a statement is one line without CR and LF in it",
    },
  ],
  Array [
    "WRITE  data",
    Object {
      "id": "q1",
      "kind": "malformed",
      "reason": "WRITE takes an item and data",
    },
  ],
  Array [
    "WRITE item ",
    Object {
      "id": "q1",
      "kind": "malformed",
      "reason": "WRITE takes an item and data",
    },
  ],
  Array [
    "SET name ",
    Object {
      "id": "q1",
      "kind": "malformed",
      "reason": "SET takes a name and a value",
    },
  ],
  Array [
    "SET  value",
    Object {
      "id": "q1",
      "kind": "malformed",
      "reason": "SET takes a name and a value",
    },
  ],
  Array [
    "PREPARE  READ shape",
    Object {
      "id": "q1",
      "kind": "malformed",
      "reason": "PREPARE takes a name, READ or WRITE, and a shape",
    },
  ],
  Array [
    "PREPARE s1 READ ",
    Object {
      "id": "q1",
      "kind": "malformed",
      "reason": "PREPARE takes a name, READ or WRITE, and a shape",
    },
  ],
  Array [
    String(
      PREPARE s1 READ a
      b
    ),
    Object {
      "id": "q1",
      "kind": "malformed",
      "reason": "a statement is one line without CR and LF in it",
    },
  ],
  Array [
    "EXECUTE  item",
    Object {
      "id": "q1",
      "kind": "malformed",
      "reason": "EXECUTE takes a name and an item",
    },
  ],
  Array [
    "EXECUTE s1 ",
    Object {
      "id": "q1",
      "kind": "malformed",
      "reason": "EXECUTE takes a name and an item",
    },
  ],
  Array [
    "EXECUTE s1  data",
    Object {
      "id": "q1",
      "kind": "malformed",
      "reason": "EXECUTE takes a name and an item",
    },
  ],
  Array [
    "EXECUTE s1 item ",
    Object {
      "id": "q1",
      "kind": "malformed",
      "reason": "EXECUTE takes a name and an item",
    },
  ],
  Array [
    "DEALLOC a b",
    Object {
      "id": "q1",
      "kind": "malformed",
      "reason": "DEALLOC takes a name",
    },
  ],
]
`

exports[`platform/test/wire.test.ts > TAP > statements that another party could read differently are refused > must match snapshot 2`] = `
Array [
  Object {
    "id": "",
    "kind": "malformed",
    "reason": "QUERY takes an id other than - of at most 1024 characters, and a statement",
  },
  Object {
    "id": "-",
    "kind": "malformed",
    "reason": "QUERY takes an id other than - of at most 1024 characters, and a statement",
  },
  Object {
    "id": "a\\rb",
    "kind": "malformed",
    "reason": "QUERY takes an id other than - of at most 1024 characters, and a statement",
  },
  Object {
    "id": "Ċ",
    "kind": "malformed",
    "reason": "QUERY takes an id other than - of at most 1024 characters, and a statement",
  },
  Object {
    "id": "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
    "kind": "malformed",
    "reason": "QUERY takes an id other than - of at most 1024 characters, and a statement",
  },
]
`
