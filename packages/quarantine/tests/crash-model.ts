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
	readonly isGuilty: boolean;
	readonly engine: Engine;
	readonly sentAt: number;
	readonly beginsAt: number;
	readonly endsAt: number;
	readonly attempt: number;
	readonly isRepeat: boolean;
};

type ModelTerms = {
	readonly seed: number;
	readonly guilty: number;
	/** Whether judgements have an effect. */
	readonly isJudged: boolean;
};

const ENGINES = 6;
const STEP_MS = 5;
const LENGTH_MS = 40_000;
/** From a crash to the judgement on all gateways. */
const LAG_MS = 25;
const INNOCENT_GAP_MS = 48;
/** Crashes that no request caused, one in this time. */
const OTHER_CRASH_MS = 8000;
const BEGUN_MS = 60;
const RUN_MS = 1300;
const ATTEMPTS = 2;

/** Engines that crash under some requests and come back, callers that try again, and the shipped judgement, in virtual time. */
export class CrashModel {
	/** When engines crashed under each guilty request, and when the try was sent. */
	readonly crashes = new Map<string, Array<{readonly at: number; readonly sentAt: number}>>();
	readonly quarantined = new Set<string>();
	served = 0;
	arrived = 0;
	readonly #terms: ModelTerms;
	readonly #random: RandomGenerator;
	readonly #ledger = newCrashLedger();
	readonly #engines: Engine[];
	#runs: Run[] = [];
	#nextEngine = ENGINES;
	#now = 0;
	readonly #later: Array<{readonly at: number; readonly act: () => void}> = [];

	constructor(terms: ModelTerms) {
		this.#terms = terms;
		this.#random = xoroshiro128plus(terms.seed);
		this.#engines = Array.from({length: ENGINES}, (_, id) => ({id, upAt: 0}));
		for (let index = 0; index < terms.guilty; index += 1) {
			this.#after(this.#draw(3000), () => {
				this.#try(`guilty ${index}`);
			});
		}
	}

	play(): void {
		for (; this.#now < LENGTH_MS; this.#now += STEP_MS) {
			this.#arrive();
			for (const {act} of this.#takeDue()) {
				act();
			}

			for (const run of this.#runs.filter(({endsAt}) => endsAt <= this.#now)) {
				this.#end(run);
			}
		}
	}

	#draw(below: number): number {
		return uniformInt(this.#random, 0, below - 1);
	}

	#after(delayMs: number, act: () => void): void {
		this.#later.push({at: this.#now + delayMs, act});
	}

	#takeDue(): Array<{readonly act: () => void}> {
		const due = this.#later.filter(({at}) => at <= this.#now);
		const rest = this.#later.filter(({at}) => at > this.#now);
		this.#later.splice(0, this.#later.length, ...rest);
		return due;
	}

	#arrive(): void {
		if (this.#draw(INNOCENT_GAP_MS) < STEP_MS) {
			this.arrived += 1;
			this.#send(`innocent ${this.arrived}`, 1, false);
		}

		if (this.#draw(OTHER_CRASH_MS) < STEP_MS) {
			this.#crash(this.#engines[this.#draw(ENGINES)]);
		}
	}

	/** A guilty request comes again for ever, as two callers send it. */
	#try(name: string): void {
		this.#send(name, 1, false);
		this.#after(300 + this.#draw(1500), () => {
			this.#try(name);
		});
	}

	#send(name: string, attempt: number, isRepeat: boolean): void {
		const up = this.#engines.filter(({upAt}) => upAt <= this.#now);
		if (up.length === 0 || (this.#terms.isJudged && this.quarantined.has(name))) {
			return;
		}

		const isGuilty = name.startsWith('guilty');
		const beginsAt = this.#now + 20 + this.#draw(250);
		const endsAt = beginsAt + (isGuilty ? 30 + this.#draw(BEGUN_MS) : RUN_MS);
		this.#runs.push({
			name, isGuilty, engine: up[this.#draw(up.length)], sentAt: this.#now, beginsAt, endsAt, attempt, isRepeat,
		});
	}

	#end(run: Run): void {
		if (!this.#runs.includes(run)) {
			return;
		}

		if (run.isGuilty) {
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
		engine.upAt = this.#now + 2000 + this.#draw(2000);
		for (const [index, run] of lost.entries()) {
			this.#retry(run, suspects[index].phase === SUSPECT_PHASE.Begun);
		}

		this.#after(LAG_MS, () => {
			mutateCrash(this.#ledger, {runId, suspects}, this.#now);
			for (const name of mutateQuarantined(this.#ledger, suspects.map(suspect => suspect.fingerprint))) {
				this.quarantined.add(name);
				this.#runs = this.#terms.isJudged ? this.#runs.filter(run => run.name !== name) : this.#runs;
			}
		});
	}

	#retry({name, attempt, isRepeat, isGuilty}: Run, hadBegun: boolean): void {
		const isSuspected = getBlame(this.#ledger, name) >= SUSPICION_BLAME || hadBegun;
		const isLast = this.#terms.isJudged && isSuspected;
		if (attempt < ATTEMPTS && !isLast) {
			this.#send(name, attempt + 1, isRepeat);
		} else if (!isGuilty && !isRepeat) {
			this.#after(200 + this.#draw(800), () => {
				this.#send(name, 1, true);
			});
		}
	}

	#newSuspect({name, beginsAt}: Run): Suspect {
		const ranMs = this.#now - beginsAt;
		const begun = ranMs <= BEGUN_MS + 30 + STEP_MS ? SUSPECT_PHASE.Begun : SUSPECT_PHASE.Running;
		return {fingerprint: name, phase: ranMs < 0 ? SUSPECT_PHASE.Unanswered : begun};
	}
}
