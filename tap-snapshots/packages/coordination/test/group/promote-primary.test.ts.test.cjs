/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/coordination/test/group/promote-primary.test.ts > TAP > P2: a promoter crashes at any step while a second one finishes; replaced primary cut off > must match snapshot 1`] = `
before read: b in term 2
after read: b in term 2
before fencing: b in term 2
after fencing: b in term 3
before fence: b in term 3
after fence: b in term 3
before promoting: b in term 3
after promoting: b in term 3
before promote: b in term 3
after promote: b in term 3
before follow: b in term 3
after follow: b in term 3
before established: b in term 3
after established: not-needed
`

exports[`packages/coordination/test/group/promote-primary.test.ts > TAP > P2: a promoter crashes at any step while a second one finishes; replaced primary reachable > must match snapshot 1`] = `
before read: a in term 2
after read: a in term 2
before fencing: a in term 2
after fencing: a in term 3
before fence: a in term 3
after fence: a in term 3
before promoting: a in term 3
after promoting: a in term 3
before promote: a in term 3
after promote: a in term 3
before follow: a in term 3
after follow: a in term 3
before established: a in term 3
after established: not-needed
`

exports[`packages/coordination/test/group/promote-primary.test.ts > TAP > P2: a promoter is suspended and resumes at any step while a second one finishes; replaced primary cut off > must match snapshot 1`] = `
before read: not-needed, b in term 2
after read: superseded, b in term 2
before fencing: superseded, b in term 2
after fencing: superseded, b in term 3
before fence: superseded, b in term 3
after fence: superseded, b in term 3
before promoting: superseded, b in term 3
after promoting: target-refused, b in term 3
before promote: target-refused, b in term 3
after promote: b in term 2, b in term 3
before follow: b in term 2, b in term 3
after follow: b in term 2, b in term 3
before established: b in term 2, b in term 3
after established: b in term 2, not-needed
`

exports[`packages/coordination/test/group/promote-primary.test.ts > TAP > P2: a promoter is suspended and resumes at any step while a second one finishes; replaced primary reachable > must match snapshot 1`] = `
before read: not-needed, a in term 2
after read: superseded, a in term 2
before fencing: superseded, a in term 2
after fencing: superseded, a in term 3
before fence: superseded, a in term 3
after fence: superseded, a in term 3
before promoting: superseded, a in term 3
after promoting: target-refused, a in term 3
before promote: target-refused, a in term 3
after promote: a in term 2, a in term 3
before follow: a in term 2, a in term 3
after follow: a in term 2, a in term 3
before established: a in term 2, a in term 3
after established: a in term 2, not-needed
`

exports[`packages/coordination/test/group/promote-primary.test.ts > TAP > P2: the request or the answer of a call of the promoter is lost > must match snapshot 1`] = `
request of read: platform-unavailable, a in term 2
answer of read: platform-unavailable, a in term 2
request of fencing: superseded, a in term 2
answer of fencing: a in term 2, a in term 2
request of fence: no-majority, a in term 3
answer of fence: no-majority, a in term 3
request of promoting: superseded, a in term 3
answer of promoting: a in term 2, a in term 2
request of promote: target-refused, a in term 3
answer of promote: target-refused, a in term 3
request of follow: a in term 2, a in term 2
answer of follow: a in term 2, a in term 2
request of established: a in term 2, a in term 2
answer of established: a in term 2, a in term 2
`
