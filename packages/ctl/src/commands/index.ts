import {type Command} from '../cli/index.js';
import {createAuditCommand, createAuditCounters} from './audit/index.js';
import {documentApply} from './document-apply/index.js';
import {documentCheck} from './document-check/index.js';
import {documentDiff} from './document-diff/index.js';
import {documentEdit} from './document-edit/index.js';
import {documentHistory} from './document-history/index.js';
import {documentInit} from './document-init/index.js';
import {documentReference} from './document-reference/index.js';
import {documentRepair} from './document-repair/index.js';
import {documentShow} from './document-show/index.js';
import {documentStatus} from './document-status/index.js';
import {explainCommand} from './explain/index.js';
import {createReportCommand} from './report/index.js';
import {HttpStatusReader, createStatusCommand} from './status/index.js';

/** All commands of `dogwoodctl`. */
export const commands: readonly Command[] = [
	documentShow,
	documentEdit,
	documentDiff,
	documentCheck,
	documentApply,
	documentHistory,
	documentStatus,
	documentInit,
	documentRepair,
	documentReference,
	createAuditCommand(createAuditCounters),
	createReportCommand(),
	explainCommand,
	createStatusCommand(timers => new HttpStatusReader(timers)),
];
