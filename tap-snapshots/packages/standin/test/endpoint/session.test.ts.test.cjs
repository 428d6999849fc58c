/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/standin/test/endpoint/session.test.ts > TAP > statements change and read the rows > must match snapshot 1`] = `
Array [
  Object {
    "error": undefined,
    "position": "1/2",
    "rowCount": 1,
    "rows": Array [
      Object {
        "amendments": 0,
        "bookingId": "b1",
        "caller": "amina",
        "lane": "north-1",
        "note": "",
        "slot": "09:00",
        "state": "active",
      },
    ],
  },
  Object {
    "error": "lane-taken",
    "position": "1/2",
    "rowCount": 0,
    "rows": Array [],
  },
  Object {
    "error": undefined,
    "position": "1/3",
    "rowCount": 1,
    "rows": Array [
      Object {
        "amountCents": 1500,
        "bookingId": "b1",
        "paymentId": "p1",
      },
    ],
  },
  Object {
    "error": undefined,
    "position": "1/4",
    "rowCount": 1,
    "rows": Array [
      Object {
        "amendments": 1,
        "bookingId": "b1",
        "caller": "amina",
        "lane": "north-1",
        "note": "two balls",
        "slot": "09:00",
        "state": "active",
      },
    ],
  },
  Object {
    "error": undefined,
    "position": "1/4",
    "rowCount": 1,
    "rows": Array [
      Object {
        "amendments": 1,
        "bookingId": "b1",
        "caller": "amina",
        "lane": "north-1",
        "note": "two balls",
        "slot": "09:00",
        "state": "active",
      },
    ],
  },
  Object {
    "error": undefined,
    "position": "1/4",
    "rowCount": 1,
    "rows": Array [
      Object {
        "amendments": 1,
        "bookingId": "b1",
        "caller": "amina",
        "lane": "north-1",
        "note": "two balls",
        "slot": "09:00",
        "state": "active",
      },
    ],
  },
  Object {
    "error": undefined,
    "position": "1/4",
    "rowCount": 1,
    "rows": Array [
      Object {
        "amountCents": 1500,
        "bookingId": "b1",
        "paymentId": "p1",
      },
    ],
  },
  Object {
    "error": undefined,
    "position": "1/5",
    "rowCount": 1,
    "rows": Array [
      Object {
        "amendments": 1,
        "bookingId": "b1",
        "caller": "amina",
        "lane": "north-1",
        "note": "two balls",
        "slot": "09:00",
        "state": "cancelled",
      },
    ],
  },
  Object {
    "error": undefined,
    "position": "1/6",
    "rowCount": 1,
    "rows": Array [
      Object {
        "amountCents": -1500,
        "bookingId": "b1",
        "paymentId": "refund:november:b1",
      },
    ],
  },
  Object {
    "error": undefined,
    "position": "1/6",
    "rowCount": 1,
    "rows": Array [
      Object {
        "balanceCents": 0,
        "bookingId": "b1",
        "state": "cancelled",
      },
    ],
  },
]
`
