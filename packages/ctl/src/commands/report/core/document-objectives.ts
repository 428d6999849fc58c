import {DocumentStore, type Objective, type Platform} from '@dogwoodthread/coordination';
import {err, ok, type Result} from 'neverthrow';
import {type ObjectivesSource, type ReportError} from '../../../report/index.js';

/** Reads objectives from the section `monitor` of the governing document. */
export class DocumentObjectives implements ObjectivesSource {
	constructor(private readonly platform: Platform) {}

	async read(): Promise<Result<Objective[], ReportError>> {
		const read = await new DocumentStore(this.platform).read();
		return read.match<Result<Objective[], ReportError>>(
			({document}) => document.monitor.objectives.length > 0
				? ok(document.monitor.objectives)
				: err({kind: 'objectives-invalid', message: 'The section monitor has no objectives; add one, or give --objectives FILE.'}),
			({message}) => err({kind: 'objectives-invalid', message: `The governing document cannot be used: ${message}`}),
		);
	}
}
