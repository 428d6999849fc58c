import {
	err, errAsync, ok, type Result,
} from 'neverthrow';
import {
	type DocumentError, type DocumentResult, type SectionName, type VersionedDocument,
} from '../definitions.js';
import {changeStatementSchema, type ChangeStatement} from '../domain/change.js';
import {differenceOf} from '../domain/line-difference.js';
import {parseDocument, type SectionCache} from '../domain/parse-document.js';
import {seenText} from '../domain/mistakes.js';
import {sectionTeams} from '../domain/sections.js';
import {nextStoredDocument} from '../domain/stored-document.js';
import {
	acceptChange, type Acceptance, type AcceptOptions, type Plan,
} from './accept-change.js';

export type SectionEdit = ChangeStatement & {
	section: SectionName;
	/** New YAML text of the section. */
	text: string;
	/** Document version that the author started from; the current one if left out. */
	baseVersion?: number;
	/** The change id was used before, maybe with an earlier base version; it is searched 24 h back. */
	isRepeat?: boolean;
};

type DatedEdit = SectionEdit & {baseVersion: number; atUnixMs: number};

/** Checks what an author states about a change. */
export const checkStatement = ({changeId, team, author, reason}: ChangeStatement): Result<ChangeStatement, DocumentError> => {
	const parsed = changeStatementSchema.safeParse({
		changeId, team, author, reason,
	});
	if (parsed.success) {
		return ok(parsed.data);
	}

	const mistakes = parsed.error.issues.map(issue => ({
		path: issue.path.join('.'), seen: seenText({
			changeId, team, author, reason,
		}[issue.path[0] as keyof ChangeStatement]), expected: issue.message, remedy: `Give ${issue.message}.`,
	}));
	return err({kind: 'invalid-change', message: mistakes.map(({path, remedy}) => `${path}: ${remedy}`).join('\n'), mistakes});
};

const checkRight = ({section, team, author}: SectionEdit, current: VersionedDocument): Result<undefined, DocumentError> => {
	const owner = sectionTeams[section];
	if (team !== owner) {
		return err({kind: 'not-allowed', message: `Section ${section} belongs to the team ${owner}, not to ${team}. Ask that team for the change.`});
	}

	return current.document.operations.teams[section].includes(author)
		? ok(undefined)
		: err({kind: 'not-allowed', message: `${author} is not listed in operations.teams.${section}. Ask the team ${sectionTeams.operations} to add the author there.`});
};

const checkUnchanged = ({section, text, baseVersion}: DatedEdit, {version, stored}: VersionedDocument): Result<undefined, DocumentError> => {
	if (baseVersion > version) {
		return err({kind: 'invalid-change', message: `The base version ${baseVersion} is later than the document's version ${version}. Give the version that the text was made from.`});
	}

	if (stored.sectionVersions[section] <= baseVersion) {
		return ok(undefined);
	}

	const changesSince = stored.recentChanges.filter(change => change.version > baseVersion && (change.section === section || change.section === 'all'));
	const names = changesSince.map(({version, author, reason}) => `version ${version} by ${author} (${reason})`).join('; ');
	return err({
		kind: 'section-changed',
		message: `Section ${section} was changed since version ${baseVersion}: ${names || `last in version ${stored.sectionVersions[section]}`}. Make the edit again on the current text.`,
		changesSince,
		difference: differenceOf(stored.sections[section], text),
	});
};

const planEdit = (edit: DatedEdit, current: VersionedDocument, cache: SectionCache): Result<Plan, DocumentError> => {
	const {section, text, changeId, team, author, reason, atUnixMs} = edit;
	const sections = {...current.stored.sections, [section]: text};
	return checkRight(edit, current)
		.andThen(() => checkUnchanged(edit, current))
		.andThen(() => parseDocument({sections}, cache))
		.andThen(() => nextStoredDocument(current, sections, {
			changeId, section, team, author, reason, atUnixMs,
		}))
		.map(stored => ({stored, expectedVersion: current.version}));
};

/**
 * Replaces one section. Edits of different sections that race all win; of two edits of the same section
 * the second is refused with the difference. A lost answer is resolved by the change id, so that the
 * edit is applied at most once and its outcome is known unless the error says otherwise.
 */
export const editSection = (options: AcceptOptions, edit: SectionEdit): DocumentResult<Acceptance> => {
	const statement = checkStatement(edit);
	if (statement.isErr()) {
		return errAsync(statement.error);
	}

	const checked = {...edit, ...statement.value};
	const atUnixMs = options.timers.wallClockMs();
	let {baseVersion} = edit;
	return acceptChange(options, {
		changeId: edit.changeId,
		sinceVersion: edit.isRepeat ? undefined : edit.baseVersion,
		plan(snapshot, cache) {
			if (snapshot.kind !== 'document') {
				return err(snapshot.error);
			}

			baseVersion ??= snapshot.current.version;
			return planEdit({...checked, baseVersion, atUnixMs}, snapshot.current, cache);
		},
	});
};
