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

/**
 * An election takes some times less, in milliseconds. A voter names a leader until it has not heard it for two election timeouts; whoever asks it in the
 * moment after that need not go round.
 */
const ELECTION_MS = 300;

/** Tells whether a voter can have no word of a leader soon, so that who asks for one had better ask others. */
export class LeaderWatch {
	readonly #parts: WatchParts;
	/** Until when a voter that names no leader is still hoped to. */
	#hopedUntil: number;

	constructor(parts: WatchParts) {
		this.#parts = parts;
		// A quorum that starts anew has not elected before.
		this.#hopedUntil = parts.clock.now() + (parts.electionTimeoutMs * 2);
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
		if (this.#parts.voter.leaderAddress !== '') {
			this.#hopedUntil = Math.max(this.#hopedUntil, now + ELECTION_MS);
		}
	}
}
