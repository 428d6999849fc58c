import {err, errAsync, type Result} from 'neverthrow';
import {
	type DocumentError, type DocumentResult, type SectionTexts, type VersionedDocument,
} from '../definitions.js';
import {type ChangeStatement} from '../domain/change.js';
import {parseDocument} from '../domain/parse-document.js';
import {firstStoredDocument, nextStoredDocument} from '../domain/stored-document.js';
import {acceptChange, type Acceptance, type AcceptOptions} from './accept-change.js';
import {checkStatement} from './edit-section.js';

export type DocumentCreation = ChangeStatement & {sections: SectionTexts};

/** Creates the document at a platform that has none. */
export const createDocument = (options: AcceptOptions, creation: DocumentCreation): DocumentResult<Acceptance> => {
	const {sections, changeId} = creation;
	const checked = checkStatement(creation).andThen(statement => parseDocument({sections}).map(() => statement));
	if (checked.isErr()) {
		return errAsync(checked.error);
	}

	const change = {...checked.value, section: 'all' as const, atUnixMs: options.timers.wallClockMs()};
	return acceptChange(options, {
		changeId,
		plan: snapshot => snapshot.kind === 'none'
			? firstStoredDocument(sections, change).map(stored => ({stored, expectedVersion: 0}))
			: err({kind: 'document-exists', message: 'The platform has a governing document already; change it with "dogwoodctl document apply".'}),
	});
};

export type DocumentRepair = ChangeStatement & {
	/** Last good version, as the proxies have it in force. */
	lastGood: VersionedDocument;
};

const checkOnCall = ({author}: ChangeStatement, {document}: VersionedDocument): Result<undefined, DocumentError> | undefined =>
	document.operations.teams.operations.includes(author)
		? undefined
		: err({kind: 'not-allowed', message: `${author} is not listed in operations.teams.operations. Ask an author listed there to repair the document.`});

/** Writes the last good version over a damaged object. A document that is not damaged is left alone. */
export const repairDocument = (options: AcceptOptions, repair: DocumentRepair): DocumentResult<Acceptance> => {
	const {lastGood, changeId} = repair;
	const checked = checkOnCall(repair, lastGood) ?? checkStatement(repair);
	if (checked.isErr()) {
		return errAsync(checked.error);
	}

	const {team, author, reason} = repair;
	return acceptChange(options, {
		changeId,
		sinceVersion: lastGood.version,
		plan(snapshot) {
			if (snapshot.kind !== 'damaged') {
				return err(snapshot.kind === 'none'
					? snapshot.error
					: {kind: 'document-exists', message: 'The document at the platform is not damaged; change it with "dogwoodctl document apply".'});
			}

			return nextStoredDocument(lastGood, lastGood.stored.sections, {
				changeId, section: 'all', team, author, reason, atUnixMs: options.timers.wallClockMs(),
			}).map(stored => ({stored, expectedVersion: snapshot.version}));
		},
	});
};
