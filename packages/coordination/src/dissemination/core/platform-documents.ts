import {documentObjectName} from '../../document/index.js';
import {type PlatformObject} from '../../platform/index.js';
import {type DisseminationContext, type DocumentContent} from '../definitions.js';
import {withTimeout} from './with-timeout.js';

export type PlatformSnapshot = {document: DocumentContent | undefined; revision: number};

const toDocument = ({version, value}: Pick<PlatformObject, 'version' | 'value'>): DocumentContent => ({version, content: value});

/** Reads and watches the governing document at the platform. Timeouts and errors yield `undefined`. */
export class PlatformDocuments {
	constructor(private readonly context: DisseminationContext) {}

	/** The current document and the revision to watch from. */
	async read(): Promise<PlatformSnapshot | undefined> {
		const {platform, timers, settings} = this.context;
		const result = await withTimeout(timers, settings.callTimeoutMs, platform.list('document'));
		return result?.match(({objects, revision}) => {
			const found = objects.find(object => object.name === documentObjectName);
			return {document: found && toDocument(found), revision};
		}, () => undefined);
	}

	/** The document if it changed after `revision`, and the revision to continue from. */
	async watch(revision: number): Promise<PlatformSnapshot | undefined> {
		const {platform, timers, settings} = this.context;
		const timeoutMs = settings.watchWaitMs + settings.callTimeoutMs;
		const result = await withTimeout(timers, timeoutMs, platform.watch('document', revision, settings.watchWaitMs));
		return result?.match(batch => {
			const change = batch.changes.findLast(({name, value}) => name === documentObjectName && value !== undefined);
			return {document: change && toDocument({version: change.version, value: change.value}), revision: batch.revision};
		}, () => undefined);
	}
}
