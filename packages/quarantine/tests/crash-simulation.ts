import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {
	type Suspect, SUSPECT_PHASE, SUSPICION_SCORE, getCrashScore, mutateCrash, mutateServedRequest, mutateQuarantinedRequests, newCrashLedger,
} from '@valelead/quarantine';

type Engine = {
	/** Number of the current run of the engine. */
	id: number;
	/** When the engine is available again after a crash. */
	upAt: number;
};

/** One attempt of a request that is in progress on an engine. Times are virtual milliseconds. */
type Run = {
	readonly name: string;
	/** True if the request crashes its engine at `endsAt`. */
	readonly isCrashing: boolean;
	readonly engine: Engine;
	readonly sentAt: number;
	readonly beginsAt: number;
	readonly endsAt: number;
	readonly attempt: number;
	/** True if the caller has sent the request again after its last attempt failed. */
	readonly isCallerRetry: boolean;
};

type SimulationOptions = {
	readonly seed: number;
	/** Number of requests that crash engines. */
	readonly crashingCount: number;
	/** True if quarantine decisions take effect; false for the comparison without them. */
	readonly isQuarantineEnabled: boolean;
};

const ENGINES = 6;
const STEP_MS = 5;
const DURATION_MS = 40_000;
/** Time from a crash until all gateways apply the quarantine decision. */
const DECISION_LAG_MS = 25;
/** Mean time between the arrivals of harmless requests. */
const HARMLESS_INTERVAL_MS = 48;
/** Mean time between crashes that no request causes. */
const UNRELATED_CRASH_INTERVAL_MS = 8000;
/** Maximum spread of the time after which a crashing request crashes its engine, on top of 30 ms. */
const MAX_BEGUN_MS = 60;
const HARMLESS_RUN_MS = 1300;
const MAX_ATTEMPTS = 2;

/**
 * Simulates, in virtual time, engines that crash on some requests and restart, callers that retry, and the quarantine decisions of this package.
 * The simulated requests are named `guilty` if they crash engines, and `innocent` otherwise.
 */
export class CrashSimulation {
	/** Crashes that each crashing request caused, with the time at which the attempt was sent. */
	readonly crashes = new Map<string, Array<{readonly at: number; readonly sentAt: number}>>();
	readonly quarantined = new Set<string>();
	served = 0;
	arrived = 0;
	readonly #options: SimulationOptions;
	readonly #random: RandomGenerator;
	readonly #ledger = newCrashLedger();
	readonly #engines: Engine[];
	#runs: Run[] = [];
	#nextEngine = ENGINES;
	#now = 0;
	readonly #scheduled: Array<{readonly at: number; readonly callback: () => void}> = [];

	constructor(options: SimulationOptions) {
		this.#options = options;
		this.#random = xoroshiro128plus(options.seed);
		this.#engines = Array.from({length: ENGINES}, (_, id) => ({id, upAt: 0}));
		for (let index = 0; index < options.crashingCount; index += 1) {
			this.#schedule(this.#getRandomInt(3000), () => {
				this.#sendRepeatedly(`guilty ${index}`);
			});
		}
	}

	simulate(): void {
		for (; this.#now < DURATION_MS; this.#now += STEP_MS) {
			this.#addArrivals();
			for (const {callback} of this.#takeDueCallbacks()) {
				callback();
			}

			for (const run of this.#runs.filter(({endsAt}) => endsAt <= this.#now)) {
				this.#end(run);
			}
		}
	}

	#getRandomInt(below: number): number {
		return uniformInt(this.#random, 0, below - 1);
	}

	#schedule(delayMs: number, callback: () => void): void {
		this.#scheduled.push({at: this.#now + delayMs, callback});
	}

	#takeDueCallbacks(): Array<{readonly callback: () => void}> {
		const due = this.#scheduled.filter(({at}) => at <= this.#now);
		const rest = this.#scheduled.filter(({at}) => at > this.#now);
		this.#scheduled.splice(0, this.#scheduled.length, ...rest);
		return due;
	}

	#addArrivals(): void {
		if (this.#getRandomInt(HARMLESS_INTERVAL_MS) < STEP_MS) {
			this.arrived += 1;
			this.#send(`innocent ${this.arrived}`, 1, false);
		}

		if (this.#getRandomInt(UNRELATED_CRASH_INTERVAL_MS) < STEP_MS) {
			this.#crash(this.#engines[this.#getRandomInt(ENGINES)]);
		}
	}

	/** Sends a crashing request again and again, at the rate of two callers that retry. */
	#sendRepeatedly(name: string): void {
		this.#send(name, 1, false);
		this.#schedule(300 + this.#getRandomInt(1500), () => {
			this.#sendRepeatedly(name);
		});
	}

	#send(name: string, attempt: number, isCallerRetry: boolean): void {
		const up = this.#engines.filter(({upAt}) => upAt <= this.#now);
		if (up.length === 0 || (this.#options.isQuarantineEnabled && this.quarantined.has(name))) {
			return;
		}

		const isCrashing = name.startsWith('guilty');
		const beginsAt = this.#now + 20 + this.#getRandomInt(250);
		const endsAt = beginsAt + (isCrashing ? 30 + this.#getRandomInt(MAX_BEGUN_MS) : HARMLESS_RUN_MS);
		this.#runs.push({
			name, isCrashing, engine: up[this.#getRandomInt(up.length)], sentAt: this.#now, beginsAt, endsAt, attempt, isCallerRetry,
		});
	}

	#end(run: Run): void {
		if (!this.#runs.includes(run)) {
			return;
		}

		if (run.isCrashing) {
			const previous = this.crashes.get(run.name) ?? [];
			this.crashes.set(run.name, [...previous, {at: this.#now, sentAt: run.sentAt}]);
			this.#crash(run.engine);
			return;
		}

		this.#runs = this.#runs.filter(other => other !== run);
		this.served += 1;
		mutateServedRequest(this.#ledger, run.name, this.#now);
	}

	#crash(engine: Engine): void {
		const lost = this.#runs.filter(run => run.engine === engine);
		this.#runs = this.#runs.filter(run => run.engine !== engine);
		const suspects = lost.map(run => this.#newSuspect(run));
		const runId = `run ${engine.id}`;
		engine.id = this.#nextEngine;
		this.#nextEngine += 1;
		engine.upAt = this.#now + 2000 + this.#getRandomInt(2000);
		for (const [index, run] of lost.entries()) {
			this.#retry(run, suspects[index].phase === SUSPECT_PHASE.Begun);
		}

		this.#schedule(DECISION_LAG_MS, () => {
			mutateCrash(this.#ledger, {runId, suspects}, this.#now);
			for (const name of mutateQuarantinedRequests(this.#ledger, suspects.map(suspect => suspect.fingerprint))) {
				this.quarantined.add(name);
				this.#runs = this.#options.isQuarantineEnabled ? this.#runs.filter(run => run.name !== name) : this.#runs;
			}
		});
	}

	#retry({name, attempt, isCallerRetry, isCrashing}: Run, wasBegun: boolean): void {
		const isSuspected = getCrashScore(this.#ledger, name) >= SUSPICION_SCORE || wasBegun;
		const isLast = this.#options.isQuarantineEnabled && isSuspected;
		if (attempt < MAX_ATTEMPTS && !isLast) {
			this.#send(name, attempt + 1, isCallerRetry);
		} else if (!isCrashing && !isCallerRetry) {
			this.#schedule(200 + this.#getRandomInt(800), () => {
				this.#send(name, 1, true);
			});
		}
	}

	#newSuspect({name, beginsAt}: Run): Suspect {
		const ranMs = this.#now - beginsAt;
		const begun = ranMs <= MAX_BEGUN_MS + 30 + STEP_MS ? SUSPECT_PHASE.Begun : SUSPECT_PHASE.Running;
		return {fingerprint: name, phase: ranMs < 0 ? SUSPECT_PHASE.Unanswered : begun};
	}
}
