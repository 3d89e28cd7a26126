import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {
	type Suspect, SUSPECT_PHASE, SUSPICION_BLAME, getBlame, mutateCrash, mutateServed, mutateQuarantined, newCrashLedger,
} from '@valelead/quarantine';

type Engine = {
	id: number;
	upAt: number;
};

type Run = {
	readonly name: string;
	readonly isCrashing: boolean;
	readonly engine: Engine;
	readonly sentAt: number;
	readonly beginsAt: number;
	readonly endsAt: number;
	readonly attempt: number;
	readonly isCallerRetry: boolean;
};

type SimulationOptions = {
	readonly seed: number;
	readonly crashingCount: number;
	/** Whether judgements have an effect. */
	readonly isQuarantineEnabled: boolean;
};

const ENGINES = 6;
const STEP_MS = 5;
const DURATION_MS = 40_000;
/** From a crash to the judgement on all gateways. */
const DECISION_LAG_MS = 25;
const HARMLESS_INTERVAL_MS = 48;
/** Crashes that no request caused, one in this time. */
const UNRELATED_CRASH_INTERVAL_MS = 8000;
const MAX_BEGUN_MS = 60;
const HARMLESS_RUN_MS = 1300;
const MAX_ATTEMPTS = 2;

/** Engines that crash under some requests and come back, callers that try again, and the shipped judgement, in virtual time. */
export class CrashSimulation {
	/** When engines crashed under each guilty request, and when the try was sent. */
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
	readonly #scheduled: Array<{readonly at: number; readonly act: () => void}> = [];

	constructor(terms: SimulationOptions) {
		this.#options = terms;
		this.#random = xoroshiro128plus(terms.seed);
		this.#engines = Array.from({length: ENGINES}, (_, id) => ({id, upAt: 0}));
		for (let index = 0; index < terms.crashingCount; index += 1) {
			this.#schedule(this.#getRandomInt(3000), () => {
				this.#sendRepeatedly(`guilty ${index}`);
			});
		}
	}

	simulate(): void {
		for (; this.#now < DURATION_MS; this.#now += STEP_MS) {
			this.#mutateArrivals();
			for (const {act} of this.#takeDueCallbacks()) {
				act();
			}

			for (const run of this.#runs.filter(({endsAt}) => endsAt <= this.#now)) {
				this.#end(run);
			}
		}
	}

	#getRandomInt(below: number): number {
		return uniformInt(this.#random, 0, below - 1);
	}

	#schedule(delayMs: number, act: () => void): void {
		this.#scheduled.push({at: this.#now + delayMs, act});
	}

	#takeDueCallbacks(): Array<{readonly act: () => void}> {
		const due = this.#scheduled.filter(({at}) => at <= this.#now);
		const rest = this.#scheduled.filter(({at}) => at > this.#now);
		this.#scheduled.splice(0, this.#scheduled.length, ...rest);
		return due;
	}

	#mutateArrivals(): void {
		if (this.#getRandomInt(HARMLESS_INTERVAL_MS) < STEP_MS) {
			this.arrived += 1;
			this.#send(`innocent ${this.arrived}`, 1, false);
		}

		if (this.#getRandomInt(UNRELATED_CRASH_INTERVAL_MS) < STEP_MS) {
			this.#crash(this.#engines[this.#getRandomInt(ENGINES)]);
		}
	}

	/** A guilty request comes again for ever, as two callers send it. */
	#sendRepeatedly(name: string): void {
		this.#send(name, 1, false);
		this.#schedule(300 + this.#getRandomInt(1500), () => {
			this.#sendRepeatedly(name);
		});
	}

	#send(name: string, attempt: number, isRepeat: boolean): void {
		const up = this.#engines.filter(({upAt}) => upAt <= this.#now);
		if (up.length === 0 || (this.#options.isQuarantineEnabled && this.quarantined.has(name))) {
			return;
		}

		const isGuilty = name.startsWith('guilty');
		const beginsAt = this.#now + 20 + this.#getRandomInt(250);
		const endsAt = beginsAt + (isGuilty ? 30 + this.#getRandomInt(MAX_BEGUN_MS) : HARMLESS_RUN_MS);
		this.#runs.push({
			name, isCrashing: isGuilty, engine: up[this.#getRandomInt(up.length)], sentAt: this.#now, beginsAt, endsAt, attempt, isCallerRetry: isRepeat,
		});
	}

	#end(run: Run): void {
		if (!this.#runs.includes(run)) {
			return;
		}

		if (run.isCrashing) {
			const known = this.crashes.get(run.name) ?? [];
			this.crashes.set(run.name, [...known, {at: this.#now, sentAt: run.sentAt}]);
			this.#crash(run.engine);
			return;
		}

		this.#runs = this.#runs.filter(other => other !== run);
		this.served += 1;
		mutateServed(this.#ledger, run.name, this.#now);
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
			for (const name of mutateQuarantined(this.#ledger, suspects.map(suspect => suspect.fingerprint))) {
				this.quarantined.add(name);
				this.#runs = this.#options.isQuarantineEnabled ? this.#runs.filter(run => run.name !== name) : this.#runs;
			}
		});
	}

	#retry({name, attempt, isCallerRetry: isRepeat, isCrashing: isGuilty}: Run, hadBegun: boolean): void {
		const isSuspected = getBlame(this.#ledger, name) >= SUSPICION_BLAME || hadBegun;
		const isLast = this.#options.isQuarantineEnabled && isSuspected;
		if (attempt < MAX_ATTEMPTS && !isLast) {
			this.#send(name, attempt + 1, isRepeat);
		} else if (!isGuilty && !isRepeat) {
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
