/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/ctl/test/explain/explain.test.ts > TAP > explain joins the lines of a request and names the cause > must match snapshot 1`] = `
Array [
  Object {
    "code": 0,
    "output": String(
      TIME front-a +1000 ms leader-changed service=ledger from=none to=i-1 term=1 source=status
      TIME front-a +5000 ms leader-unknown service=ledger from=i-1 to=none term=1 source=status
      TIME front-a +6100 ms request-refused requestId=q1 service=ledger code=busy reason=leader-unknown totalMs=1000
      Ended with busy at front-a: no primary was known for the whole time of the statement. Latest state change on this host: leader-unknown 1100 ms earlier.
      
    ),
  },
  Object {
    "code": 0,
    "output": String(
      {"time":1700000001000,"hostId":"front-a","event":"leader-changed","monotonicMs":1000,"level":30,"service":"ledger","from":"none","to":"i-1","term":1,"source":"status"}
      {"time":1700000005000,"hostId":"front-a","event":"leader-unknown","monotonicMs":5000,"level":30,"service":"ledger","from":"i-1","to":"none","term":1,"source":"status"}
      {"time":1700000006200,"hostId":"front-a","event":"request-failed","monotonicMs":6200,"level":30,"requestId":"q2","service":"ledger","code":"in-doubt","reason":"connection-lost","totalMs":80}
      {"time":1700000009000,"hostId":"front-c","event":"forwarded-request-failed","monotonicMs":9000,"level":30,"requestId":"q2","service":"ledger","code":"timeout","reason":"endpoint-silent"}
      {"event":"cause","requestId":"q2","cause":"Ended with timeout at front-c: the instance did not answer within the time of the statement.","damaged":1}
      
    ),
  },
  Object {
    "code": 0,
    "output": String(
      TIME front-a +6300 ms request-refused requestId=q4 database=holds code=aborted reason=endpoint-silent transactionIds="q3 q4"
      Ended with aborted at front-a: the instance did not answer within the time of the statement.
      
    ),
  },
  Object {
    "code": 0,
    "output": String(
      TIME front-b +6400 ms client-left requestId=q5 database=holds waitedMs=1500
      The client closed its connection to front-b 1500 ms after it had sent the statement, before there was an answer.
      
    ),
  },
  Object {
    "code": 0,
    "output": String(
      TIME front-b +6500 ms request-served requestId=q6 totalMs=900 positionMs=0 connectionMs=650
      Served at front-b after 900 ms (0 ms for the position to read at, 650 ms for a connection, 250 ms at the instance or on the way).
      
    ),
  },
  Object {
    "code": 1,
    "output": String(
      No line names q9 in 18 lines (1 damaged). Of the served requests one in 32 has a line; give the logs of all hosts. It was served, or one of these kept it out:
        front-f has no line after TIME, without a stop: it was lost, or its log is not complete.
        front-e was suspended, or its time of day stepped, by 2500 ms until TIME.
        front-e left out 12 lines (request-refused) until TIME.
        front-d ended without a stop after TIME and was back at TIME: what it was running then has no line.
      
    ),
  },
  Object {
    "code": 1,
    "output": String(
      No line names q9 in 18 lines (1 damaged). Of the served requests one in 32 has a line; give the logs of all hosts. It was served, or one of these kept it out:
        front-f has no line after TIME, without a stop: it was lost, or its log is not complete.
        front-d ended without a stop after TIME and was back at TIME: what it was running then has no line.
      
    ),
  },
  Object {
    "code": 0,
    "output": String(
      TIME q4: Ended with aborted at front-a: the instance did not answer within the time of the statement.
      TIME q5: The client closed its connection to front-b 1500 ms after it had sent the statement, before there was an answer.
      2 failed requests of holds in 18 lines (1 damaged).
      
    ),
  },
  Object {
    "code": 2,
    "output": "",
  },
  Object {
    "code": 2,
    "output": "",
  },
]
`
