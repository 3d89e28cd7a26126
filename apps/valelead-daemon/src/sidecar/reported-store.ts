import {getSharedEstimate} from '@valelead/residency';
import {NO_STORE_REPORT} from '../gateway/no-store-report.js';
import type {StoreReport} from '../gateway/store-report.js';

/** What the gateways have reported about the weight store. */
export class ReportedStore {
	readonly #gateways = new Map<string, StoreReport>();

	/** Replaces the report of the gateway at the other end of a stream. */
	set(streamId: string, report: StoreReport): void {
		this.#gateways.set(streamId, report);
	}

	forget(streamId: string): void {
		this.#gateways.delete(streamId);
	}

	/** The median of what the gateways have measured, and the most fetches that one of them knows to be in progress. */
	get shared(): StoreReport {
		const reports = [...this.#gateways.values()];
		return reports.length === 0
			? NO_STORE_REPORT
			: {
				sustainedFetches: getSharedEstimate(reports.map(report => report.sustainedFetches)),
				fetchesInProgress: Math.max(...reports.map(report => report.fetchesInProgress)),
			};
	}
}
