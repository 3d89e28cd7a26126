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

/** Interval between checks of the voter, in milliseconds; short compared with an election timeout. */
const CHECK_INTERVAL_MS = 100;

/** Detects that a voter is unlikely to learn of a leader soon, so that followers should ask another voter instead. */
export class LeaderWatch {
	readonly #parts: WatchParts;
	/**
	 * Until this time a voter without a leader is expected to learn of one. An election with one split vote takes up to two election timeouts, and all
	 * voters of the quorum learn of its result at about the same time, so a follower gains nothing by asking another voter meanwhile.
	 */
	#expectedUntil: number;

	constructor(parts: WatchParts) {
		this.#parts = parts;
		this.#expectedUntil = parts.clock.now() + (2 * parts.electionTimeoutMs);
	}

	start(): void {
		this.#parts.timers.repeat(CHECK_INTERVAL_MS, now => {
			this.#check(now);
		});
	}

	/** True if the voter knows no leader and either is no full member of a quorum, or has known none for two election timeouts. */
	get isOutside(): boolean {
		const {voter, clock} = this.#parts;
		const now = clock.now();
		this.#check(now);
		if (voter.leaderAddress !== '') {
			return false;
		}

		const own = voter.node?.voters.find(({id}) => id === voter.record.id);
		return !own || own.isLearner || now > this.#expectedUntil;
	}

	#check(now: number): void {
		const {voter, electionTimeoutMs} = this.#parts;
		if (voter.leaderAddress !== '') {
			this.#expectedUntil = now + (2 * electionTimeoutMs);
		}
	}
}
