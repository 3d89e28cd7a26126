import type {Clock, TimerService} from '@valelead/common';
import {
	type Crash, type CrashLedger, mutateCrash, newCrashLedger,
} from '@valelead/quarantine';

type IntakeParts = {
	readonly clock: Clock;
	readonly timers: TimerService;
	/** Hears of a crash of which a gateway told something new. */
	readonly onCrash: (vm: string, runId: string) => void;
	/** Hears of requests at crashes that are known from all gateways now. */
	readonly onSettled: (fingerprints: readonly string[]) => void;
};

/** All gateways have told of a crash after this time, in milliseconds, unless they are suspended or cut off. */
const TELL_MS = 100;

/** A new leader has heard of the crashes that all gateways saw after this time, in milliseconds: two of their heartbeats. */
const SETTLE_MS = 1000;

const mutateAdded = (set: Set<string>, values: readonly string[]): void => {
	for (const value of values) {
		set.add(value);
	}
};

/**
 * Puts together what gateways tell a leader of crashes, and follows which crashes some of them may still tell of. What merely waited at such a crash is
 * blamed for less, as it looks guilty until another gateway names what had just begun there.
 */
export class CrashCollector {
	readonly #parts: IntakeParts;
	#ledger = newCrashLedger();
	/** Whether some gateways may not have told this leadership yet of the crashes before it. */
	#isSettling = false;
	/** Gateways that have told this leadership what they know. */
	readonly #heardVms = new Set<string>();
	/** The run whose crash was heard of last, while some gateways may not have told of it yet. */
	#newestRun: string | undefined;

	constructor(parts: IntakeParts) {
		this.#parts = parts;
	}

	/** What is known of crashes in this leadership. */
	get ledger(): CrashLedger {
		return this.#ledger;
	}

	/** Begins a leadership with an empty ledger. Gateways tell it of earlier crashes in their first reports, one after the other. */
	begin(): void {
		const ledger = newCrashLedger();
		this.#ledger = ledger;
		this.#heardVms.clear();
		this.#newestRun = undefined;
		this.#isSettling = true;
		this.#parts.timers.after(SETTLE_MS, () => {
			if (this.#ledger === ledger) {
				this.#settleAll();
			}
		});
	}

	/** Takes the crashes of a report, and returns the requests of which more is known now. */
	note(vm: string, crashes: readonly Crash[]): Set<string> {
		const isBefore = this.#isSettling && !this.#heardVms.has(vm);
		this.#heardVms.add(vm);
		const news = new Set<string>();
		for (const crash of crashes) {
			if (!isBefore && !this.#ledger.crashes.has(crash.runId)) {
				mutateAdded(news, this.#noteNewest(crash.runId));
			}

			if (mutateCrash(this.#ledger, crash, this.#parts.clock.now(), isBefore || this.#newestRun === crash.runId)) {
				mutateAdded(news, crash.suspects.map(({fingerprint}) => fingerprint));
				this.#parts.onCrash(vm, crash.runId);
			}
		}

		return news;
	}

	/** Only the newest crash is known in part: by the next one, reports of those before have come. Returns the requests at the one before. */
	#noteNewest(runId: string): readonly string[] {
		const settled = this.#settleNewest();
		this.#newestRun = runId;
		this.#parts.timers.after(TELL_MS, () => {
			if (this.#newestRun === runId) {
				this.#parts.onSettled(this.#settleNewest());
			}
		});
		return settled;
	}

	#settleNewest(): readonly string[] {
		const record = this.#newestRun === undefined ? undefined : this.#ledger.crashes.get(this.#newestRun);
		this.#newestRun = undefined;
		if (!record) {
			return [];
		}

		record.isPartial = false;
		return [...record.suspects.keys()];
	}

	#settleAll(): void {
		this.#isSettling = false;
		for (const record of this.#ledger.crashes.values()) {
			record.isPartial = false;
		}

		this.#parts.onSettled([...this.#ledger.runsBySuspect.keys()]);
	}
}
