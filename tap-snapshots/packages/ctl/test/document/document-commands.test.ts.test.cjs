/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/ctl/test/document/document-commands.test.ts > TAP > a section is shown, edited, compared, checked and applied > must match snapshot 1`] = `
document show: exit code 1
no-document: The platform has no governing document; create it with "dogwoodctl document init".
document init: exit code 0
accepted as version 1 (CHANGE)
document init: exit code 1
document-exists: The platform has a governing document already; change it with "dogwoodctl document apply".
document edit: exit code 0
accepted as version 2 (CHANGE)
document edit: exit code 1
invalid-document: Correct 1 mistake:
databases.ledger.slotz (line 4): found 6, expected one of the fields slots, connections, longSlots, queueLength, requestKeyRetentionHours, rttMs. Rename the field to slots, or remove it.
document edit: exit code 1
not-allowed: nobody is not listed in operations.teams.databases. Ask the team on-call to add the author there.
document diff: exit code 0
section databases
@@ line 1 @@
-ledger:
-  slots: 6
-  connections: 35
-tins:
-  slots: 5
-  connections: 35
+ledger: {slots: 5, connections: 35}
document check: exit code 0
valid
document apply: exit code 0
{"event":"accepted","version":3,"changeId":"CHANGE","alreadyAccepted":false}
document apply: exit code 1
{"event":"failed","kind":"section-changed","message":"Section databases was changed since version 2: version 3 by wanjiru (more work). Make the edit again on the current text.","changesSince":[{"changeId":"CHANGE","section":"databases","team":"database-owners","author":"wanjiru","reason":"more work","baseVersion":2,"version":3,"atUnixMs":0}],"difference":[]}
document diff: exit code 0
section databases
@@ line 1 @@
-ledger:
-  slots: 5
-  connections: 35
-tins:
-  slots: 5
-  connections: 35
+ledger: {slots: 5, connections: 35}
document history: exit code 0
3  TIME  databases  wanjiru (database-owners): more work  [CHANGE]
2  TIME  databases  wanjiru (database-owners): more work  [CHANGE]
1  TIME  all  wanjiru (on-call): more work  [CHANGE]
document status: exit code 0
The platform has version 3.
document show: exit code 0
# section databases, version 3
ledger: {slots: 5, connections: 35}
audit --from: exit code 0
TIME  accepted change, version 1, the whole document, by wanjiru (on-call): more work; 0 lines removed, 0 added
TIME  accepted change, version 2, section databases, by wanjiru (database-owners): more work; 1 lines removed, 1 added
TIME  accepted change, version 3, section databases, by wanjiru (database-owners): more work; 6 lines removed, 1 added
accepted change: 3 from TIME to TIME
No counters without --samples, the file that "dogwoodctl report" keeps; the report lists the changes only.
`
