import {create} from '@bufbuild/protobuf';
import {type EngineReport, EngineReportSchema} from '@valelead/protocol';
import type {EngineSummary} from './engine-summary.js';

type EncodedSummary = {
	/** The copies as one text, to tell whether they changed. */
	readonly copies: string;
	/** With the copies, and without them for followers that know them. */
	readonly whole: EngineReport;
	readonly brief: EngineReport;
};

type EncodedReport = {
	readonly copies: string;
	readonly report: EngineReport;
};

const newEncoded = (summary: EngineSummary): EncodedSummary => {
	const newReport = (changes: object): EngineReport => create(EngineReportSchema, {...summary, ...changes} as never);
	return {
		copies: JSON.stringify([summary.copiesInMemory, summary.copiesOnDisk]),
		whole: newReport({areCopiesUnchanged: false}),
		brief: newReport({areCopiesUnchanged: true, copiesInMemory: [], copiesOnDisk: []}),
	};
};

/** Makes the messages of a summary once for all followers. */
export class ReportEncoder {
	readonly #encoded = new WeakMap<EngineSummary, EncodedSummary>();

	/** @param sentCopies - The copies that the follower was told last. */
	encode(summary: EngineSummary, sentCopies: string): EncodedReport {
		const encoded = this.#encoded.get(summary) ?? newEncoded(summary);
		this.#encoded.set(summary, encoded);
		const {copies, whole, brief} = encoded;
		return {copies, report: copies === sentCopies ? brief : whole};
	}
}
