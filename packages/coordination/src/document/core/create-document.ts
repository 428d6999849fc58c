import {err, errAsync, type Result} from 'neverthrow';
import {
	type DocumentError, type DocumentResult, type SectionTexts, type VersionedDocument,
} from '../definitions.js';
import {type ChangeMetadata} from '../domain/change.js';
import {parseDocument} from '../domain/parse-document.js';
import {buildFirstDocument, buildNextDocument} from '../domain/stored-document.js';
import {submitChange, type AcceptedChange, type SubmitOptions} from './submit-change.js';
import {validateChangeMetadata} from './edit-section.js';

export type DocumentCreation = ChangeMetadata & {sections: SectionTexts};

/** Creates the document at a platform that has none yet. */
export const createDocument = (options: SubmitOptions, creation: DocumentCreation): DocumentResult<AcceptedChange> => {
	const {sections, changeId} = creation;
	const validated = validateChangeMetadata(creation).andThen(metadata => parseDocument({sections}).map(() => metadata));
	if (validated.isErr()) {
		return errAsync(validated.error);
	}

	const change = {...validated.value, section: 'all' as const, atUnixMs: options.timers.wallClockMs()};
	return submitChange(options, {
		changeId,
		planWrite: snapshot => snapshot.kind === 'none'
			? buildFirstDocument(sections, change).map(stored => ({stored, expectedVersion: 0}))
			: err({kind: 'document-exists', message: 'The platform has a governing document already; change it with "dogwoodctl document apply".'}),
	});
};

export type DocumentRepair = ChangeMetadata & {
	/** Last valid version, as a proxy has it in force. */
	lastKnownGood: VersionedDocument;
};

/** Checks that the author may edit the section operations; undefined if so. */
const checkOperationsAuthor = ({author}: ChangeMetadata, {document}: VersionedDocument): Result<undefined, DocumentError> | undefined =>
	document.operations.teams.operations.includes(author)
		? undefined
		: err({kind: 'not-allowed', message: `${author} is not listed in operations.teams.operations. Ask an author listed there to repair the document.`});

/** Replaces a damaged object with the last known good version. Refuses to replace a document that is not damaged. */
export const repairDocument = (options: SubmitOptions, repair: DocumentRepair): DocumentResult<AcceptedChange> => {
	const {lastKnownGood, changeId} = repair;
	const validated = checkOperationsAuthor(repair, lastKnownGood) ?? validateChangeMetadata(repair);
	if (validated.isErr()) {
		return errAsync(validated.error);
	}

	const {team, author, reason} = repair;
	return submitChange(options, {
		changeId,
		searchAfterVersion: lastKnownGood.version,
		planWrite(snapshot) {
			if (snapshot.kind !== 'damaged') {
				return err(snapshot.kind === 'none'
					? snapshot.error
					: {kind: 'document-exists', message: 'The document at the platform is not damaged; change it with "dogwoodctl document apply".'});
			}

			return buildNextDocument(lastKnownGood, lastKnownGood.stored.sections, {
				changeId, section: 'all', team, author, reason, atUnixMs: options.timers.wallClockMs(),
			}).map(stored => ({stored, expectedVersion: snapshot.version}));
		},
	});
};
