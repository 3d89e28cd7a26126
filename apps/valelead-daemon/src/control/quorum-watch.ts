import type {Clock, TimerService, TimerSubscription} from '@valelead/common';
import {type QuorumView, type Voter as VoterRecord, getToleratedLosses} from '@valelead/consensus';
import type {Logger} from 'pino';
import type {Voter} from './voter.js';

type WatchParts = {
	readonly voter: Pick<Voter, 'node' | 'record'>;
	/** Number of voters that may fail at the same time, from the settings. */
	readonly faultTolerance: number;
	readonly clock: Clock;
	readonly timers: TimerService;
	readonly logger: Logger;
};

const CHECK_MS = 500;

/**
 * A voter that has sent no message for longer does not count as reachable, in milliseconds. Without a leader, a voter requests votes at least every
 * two election timeouts.
 */
const VOTER_SILENCE_MS = 3000;

/** Interval between log lines while no leader is known, in milliseconds. */
const LOG_INTERVAL_MS = 5000;

/** A time without a leader is logged only if it is longer, in milliseconds; an election takes about as long. */
const MIN_LEADERLESS_MS = 2000;

const getName = ({vm, id}: VoterRecord): string => `${vm}/${id}`;

const getKey = ({voters, reachable}: QuorumView): string => [...voters, ...reachable].map(voter => voter.id).join(' ');

/** Logs how many voter failures the quorum tolerates, which voters are reachable, and for how long no leader has been known. */
export class QuorumWatch {
	readonly #parts: WatchParts;
	#checks: TimerSubscription | undefined;
	#loggedKey = '';
	/** When a leader was last known, in monotonic milliseconds. */
	#leaderKnownAt: number;
	#leaderlessLoggedAt = Number.NEGATIVE_INFINITY;
	#isLeaderless = false;

	constructor(parts: WatchParts) {
		this.#parts = parts;
		this.#leaderKnownAt = parts.clock.now();
	}

	start(): void {
		this.#checks = this.#parts.timers.repeat(CHECK_MS, now => {
			this.#check(now);
		});
	}

	stop(): void {
		this.#checks?.cancel();
	}

	/** The quorum as this voter sees it; undefined while it belongs to none. */
	get view(): QuorumView | undefined {
		return this.#parts.voter.node?.getQuorumView(VOTER_SILENCE_MS);
	}

	#check(now: number): void {
		const {view} = this;
		if (view?.leader) {
			this.#noteLeader(view, now);
		} else if (now - this.#leaderKnownAt > MIN_LEADERLESS_MS && now - this.#leaderlessLoggedAt >= LOG_INTERVAL_MS) {
			this.#leaderlessLoggedAt = now;
			this.#isLeaderless = true;
			this.#logLeaderless(view, now);
		}

		if (view?.isLeader) {
			this.#logChange(view);
		}
	}

	#noteLeader({leader, term}: QuorumView, now: number): void {
		if (this.#isLeaderless) {
			this.#parts.logger.info({
				event: 'leader-found', leader: getName(leader!), term, leaderlessMs: Math.round(now - this.#leaderKnownAt),
			}, 'a leader is known again');
		}

		this.#isLeaderless = false;
		this.#leaderlessLoggedAt = Number.NEGATIVE_INFINITY;
		this.#leaderKnownAt = now;
	}

	#logLeaderless(view: QuorumView | undefined, now: number): void {
		const {voter, logger} = this.#parts;
		logger.warn({
			event: 'leader-missing',
			voterId: voter.record.id,
			leaderlessMs: Math.round(now - this.#leaderKnownAt),
			term: view?.term,
			voters: view?.voters.map(member => getName(member)) ?? [],
			heard: view?.reachable.map(member => getName(member)) ?? [],
			needed: view && Math.floor(view.voters.length / 2) + 1,
		}, view ? 'no leader is known; an election needs a majority of the voters to be reachable' : 'this voter belongs to no quorum yet');
	}

	#logChange(view: QuorumView): void {
		const key = getKey(view);
		if (key === this.#loggedKey) {
			return;
		}

		this.#loggedKey = key;
		const {faultTolerance, logger} = this.#parts;
		const borneLosses = getToleratedLosses(view.voters.length);
		const line = {
			event: 'quorum', term: view.term, voters: view.voters.map(member => getName(member)), heard: view.reachable.map(member => getName(member)), borneLosses, faultTolerance,
		};
		if (borneLosses < faultTolerance) {
			logger.warn(line, 'the quorum has too few voters for the configured fault tolerance');
		} else {
			logger.info(line, 'voters of the quorum');
		}
	}
}
