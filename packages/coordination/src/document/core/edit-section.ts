import {
	err, errAsync, ok, type Result,
} from 'neverthrow';
import {
	type DocumentError, type DocumentResult, type SectionName, type VersionedDocument,
} from '../definitions.js';
import {changeMetadataSchema, type ChangeMetadata} from '../domain/change.js';
import {computeDifference} from '../domain/line-difference.js';
import {parseDocument, type SectionCache} from '../domain/parse-document.js';
import {formatValue} from '../domain/mistake-messages.js';
import {sectionTeams} from '../domain/sections.js';
import {buildNextDocument} from '../domain/stored-document.js';
import {
	submitChange, type AcceptedChange, type SubmitOptions, type PlannedWrite,
} from './submit-change.js';

export type SectionEdit = ChangeMetadata & {
	section: SectionName;
	/** New YAML text of the section. */
	text: string;
	/** Document version that the author's text is based on. Default: the current version. */
	baseVersion?: number;
	/** The change id was used before, possibly with an earlier base version, so the last 24 h of the history are searched for it. */
	isRetry?: boolean;
};

/** An edit whose base version and time are set. */
type ResolvedEdit = SectionEdit & {baseVersion: number; atUnixMs: number};

/** Checks the change id, team, author and reason of a change. */
export const validateChangeMetadata = ({changeId, team, author, reason}: ChangeMetadata): Result<ChangeMetadata, DocumentError> => {
	const parsed = changeMetadataSchema.safeParse({
		changeId, team, author, reason,
	});
	if (parsed.success) {
		return ok(parsed.data);
	}

	const mistakes = parsed.error.issues.map(issue => ({
		path: issue.path.join('.'), seen: formatValue({
			changeId, team, author, reason,
		}[issue.path[0] as keyof ChangeMetadata]), expected: issue.message, remedy: `Give ${issue.message}.`,
	}));
	return err({kind: 'invalid-change', message: mistakes.map(({path, remedy}) => `${path}: ${remedy}`).join('\n'), mistakes});
};

/** Checks that the team owns the section and that the author is listed for it. */
const checkPermission = ({section, team, author}: SectionEdit, current: VersionedDocument): Result<undefined, DocumentError> => {
	const owner = sectionTeams[section];
	if (team !== owner) {
		return err({kind: 'not-allowed', message: `Section ${section} belongs to the team ${owner}, not to ${team}. Ask that team for the change.`});
	}

	return current.document.operations.teams[section].includes(author)
		? ok(undefined)
		: err({kind: 'not-allowed', message: `${author} is not listed in operations.teams.${section}. Ask the team ${sectionTeams.operations} to add the author there.`});
};

/** Checks that no change of the section was accepted after the edit's base version. */
const checkSectionUnchanged = ({section, text, baseVersion}: ResolvedEdit, {version, stored}: VersionedDocument): Result<undefined, DocumentError> => {
	if (baseVersion > version) {
		return err({kind: 'invalid-change', message: `The base version ${baseVersion} is later than the document's version ${version}. Give the version that the text was made from.`});
	}

	if (stored.sectionVersions[section] <= baseVersion) {
		return ok(undefined);
	}

	const changesSince = stored.recentChanges.filter(change => change.version > baseVersion && (change.section === section || change.section === 'all'));
	const changeTexts = changesSince.map(({version, author, reason}) => `version ${version} by ${author} (${reason})`).join('; ');
	return err({
		kind: 'section-changed',
		message: `Section ${section} was changed since version ${baseVersion}: ${changeTexts || `last in version ${stored.sectionVersions[section]}`}. Make the edit again on the current text.`,
		changesSince,
		difference: computeDifference(stored.sections[section], text),
	});
};

const planEdit = (edit: ResolvedEdit, current: VersionedDocument, cache: SectionCache): Result<PlannedWrite, DocumentError> => {
	const {section, text, changeId, team, author, reason, atUnixMs} = edit;
	const sections = {...current.stored.sections, [section]: text};
	return checkPermission(edit, current)
		.andThen(() => checkSectionUnchanged(edit, current))
		.andThen(() => parseDocument({sections}, cache))
		.andThen(() => buildNextDocument(current, sections, {
			changeId, section, team, author, reason, atUnixMs,
		}))
		.map(stored => ({stored, expectedVersion: current.version}));
};

/**
 * Replaces one section. Concurrent edits of different sections are all accepted, provided that the document
 * stays valid; of two edits of the same section the second is refused with the difference. After a lost
 * answer, the change id shows whether the edit was accepted, so that it is applied at most once and its
 * outcome is known unless the error is `outcome-unknown`.
 */
export const editSection = (options: SubmitOptions, edit: SectionEdit): DocumentResult<AcceptedChange> => {
	const metadata = validateChangeMetadata(edit);
	if (metadata.isErr()) {
		return errAsync(metadata.error);
	}

	const validatedEdit = {...edit, ...metadata.value};
	const atUnixMs = options.timers.wallClockMs();
	let {baseVersion} = edit;
	return submitChange(options, {
		changeId: edit.changeId,
		searchAfterVersion: edit.isRetry ? undefined : edit.baseVersion,
		planWrite(snapshot, cache) {
			if (snapshot.kind !== 'document') {
				return err(snapshot.error);
			}

			baseVersion ??= snapshot.current.version;
			return planEdit({...validatedEdit, baseVersion, atUnixMs}, snapshot.current, cache);
		},
	});
};
