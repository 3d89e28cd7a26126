import {create} from '@bufbuild/protobuf';
import {type EngineReport, EngineReportSchema} from '@valelead/protocol';
import type {EngineSummary} from './engine-summary.js';

type EncodedSummary = {
	/** The copies as one string, compared to detect changes. */
	readonly copies: string;
	/** The report with the copies, and the shorter report without them for followers that already have them. */
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

/** Encodes each summary once and shares the messages among all followers. */
export class ReportEncoder {
	readonly #encoded = new WeakMap<EngineSummary, EncodedSummary>();

	/** @param sentCopies - The copies that were last sent to the follower, as returned by the previous call; empty for a new follower. */
	encode(summary: EngineSummary, sentCopies: string): EncodedReport {
		const encoded = this.#encoded.get(summary) ?? newEncoded(summary);
		this.#encoded.set(summary, encoded);
		const {copies, whole, brief} = encoded;
		return {copies, report: copies === sentCopies ? brief : whole};
	}
}
