import type {Clock, TimerService} from '@valelead/common';
import type {Voter} from './voter.js';

type WatchParts = {
	readonly voter: Pick<Voter, 'leaderAddress' | 'record'> & {
		readonly node: {readonly voters: ReadonlyArray<{readonly id: string; readonly isLearner: boolean}>} | undefined;
	};
	readonly electionTimeoutMs: number;
	readonly clock: Clock;
	readonly timers: TimerService;
};

/** How often the voter is looked at, in milliseconds: often against an election timeout. */
const LOOK_MS = 100;

/** Tells whether a voter can have no word of a leader soon, so that who asks for one had better ask others. */
export class LeaderWatch {
	readonly #parts: WatchParts;
	/**
	 * Until when a voter that names no leader is still hoped to: an election that splits once takes up to two election timeouts, and all voters of the quorum
	 * learn of its end at once, so whoever asks one of them need not go round meanwhile.
	 */
	#hopedUntil: number;

	constructor(parts: WatchParts) {
		this.#parts = parts;
		this.#hopedUntil = parts.clock.now() + (2 * parts.electionTimeoutMs);
	}

	start(): void {
		this.#parts.timers.repeat(LOOK_MS, now => {
			this.#look(now);
		});
	}

	/** Whether the voter names no leader and belongs to no quorum, or has heard of none for long. */
	get isOutside(): boolean {
		const {voter, clock} = this.#parts;
		const now = clock.now();
		this.#look(now);
		if (voter.leaderAddress !== '') {
			return false;
		}

		const own = voter.node?.voters.find(({id}) => id === voter.record.id);
		return !own || own.isLearner || now > this.#hopedUntil;
	}

	#look(now: number): void {
		const {voter, electionTimeoutMs} = this.#parts;
		if (voter.leaderAddress !== '') {
			this.#hopedUntil = now + (2 * electionTimeoutMs);
		}
	}
}
