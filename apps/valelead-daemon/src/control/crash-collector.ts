import type {Clock, TimerService} from '@valelead/common';
import {
	type Crash, type CrashLedger, mutateCrash, newCrashLedger,
} from '@valelead/quarantine';

type CollectorParts = {
	readonly clock: Clock;
	readonly timers: TimerService;
	/** Called when a gateway's report adds a crash or adds suspects to a known crash. */
	readonly onCrash: (vm: string, runId: string) => void;
	/** Called with the requests of crashes that every gateway has had time to report. */
	readonly onComplete: (fingerprints: readonly string[]) => void;
};

/** Time within which all gateways report a crash unless they are suspended or partitioned, in milliseconds. */
const REPORT_WINDOW_MS = 100;

/** Time within which all gateways report their earlier crashes to a new leader: two of their heartbeats, in milliseconds. */
const NEW_TERM_WINDOW_MS = 1000;

const mutateUnion = (set: Set<string>, values: readonly string[]): void => {
	for (const value of values) {
		set.add(value);
	}
};

/**
 * Merges the gateways' crash reports for the leader and marks crashes as partial while some gateways may not have reported them yet.
 * A partial crash counts less against requests that only waited at the upstream: they look like its cause until another gateway reports
 * the request that had just started there.
 */
export class CrashCollector {
	readonly #parts: CollectorParts;
	#ledger = newCrashLedger();
	/** True while some gateways may not have reported the crashes that precede the current term. */
	#isNewTerm = false;
	/** Gateways that have sent a report in the current term. */
	readonly #reportedVms = new Set<string>();
	/** Run id of the upstream whose crash is the newest, while some gateways may not have reported that crash yet. */
	#newestRun: string | undefined;

	constructor(parts: CollectorParts) {
		this.#parts = parts;
	}

	/** Crashes reported in the current term. */
	get ledger(): CrashLedger {
		return this.#ledger;
	}

	/** Starts a term with an empty ledger. The first report of each gateway in the term repeats the earlier crashes it knows of. */
	startTerm(): void {
		const ledger = newCrashLedger();
		this.#ledger = ledger;
		this.#reportedVms.clear();
		this.#newestRun = undefined;
		this.#isNewTerm = true;
		this.#parts.timers.after(NEW_TERM_WINDOW_MS, () => {
			if (this.#ledger === ledger) {
				this.#completeAll();
			}
		});
	}

	/** Adds the crashes of a report. Returns the fingerprints of the requests whose evidence changed. */
	addReport(vm: string, crashes: readonly Crash[]): Set<string> {
		const isFirstReport = this.#isNewTerm && !this.#reportedVms.has(vm);
		this.#reportedVms.add(vm);
		const changed = new Set<string>();
		for (const crash of crashes) {
			if (!isFirstReport && !this.#ledger.crashes.has(crash.runId)) {
				mutateUnion(changed, this.#setNewestRun(crash.runId));
			}

			if (mutateCrash(this.#ledger, crash, this.#parts.clock.now(), isFirstReport || this.#newestRun === crash.runId)) {
				mutateUnion(changed, crash.suspects.map(({fingerprint}) => fingerprint));
				this.#parts.onCrash(vm, crash.runId);
			}
		}

		return changed;
	}

	/**
	 * Marks a crash as the newest and the previous newest as complete: all its reports arrive before the next crash. Returns the requests
	 * of the previous crash.
	 */
	#setNewestRun(runId: string): readonly string[] {
		const completed = this.#completeNewestRun();
		this.#newestRun = runId;
		this.#parts.timers.after(REPORT_WINDOW_MS, () => {
			if (this.#newestRun === runId) {
				this.#parts.onComplete(this.#completeNewestRun());
			}
		});
		return completed;
	}

	#completeNewestRun(): readonly string[] {
		const record = this.#newestRun === undefined ? undefined : this.#ledger.crashes.get(this.#newestRun);
		this.#newestRun = undefined;
		if (!record) {
			return [];
		}

		record.isPartial = false;
		return [...record.suspects.keys()];
	}

	#completeAll(): void {
		this.#isNewTerm = false;
		for (const record of this.#ledger.crashes.values()) {
			record.isPartial = false;
		}

		this.#parts.onComplete([...this.#ledger.runsBySuspect.keys()]);
	}
}
