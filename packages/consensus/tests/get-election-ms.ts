import {newRandom} from '../../../tests/support/new-random.js';
import {FakeQuorum} from './fake-quorum.js';

type Loss = {
	readonly voters: number;
	/** Number of voters that fail at the same time, including the leader. */
	readonly dead: number;
	/** Maximum time in milliseconds that a message between voters takes. */
	readonly delayMs: number;
};

const FORM_MS = 2000;
const STEP_MS = 10;
const PHASE_STEPS = 10;
const LIMIT_MS = 20_000;

/** Returns the time without a leader after several voters fail at the same time, in milliseconds. */
export const getElectionMs = (seed: number, {voters, dead, delayMs}: Loss): number => {
	const random = newRandom(seed);
	const quorum = new FakeQuorum(seed, 'none', {size: voters, losses: dead});
	quorum.delayMs = delayMs;
	// The failure occurs at a random time between two heartbeats.
	quorum.advance(FORM_MS + (STEP_MS * Math.floor(random() * PHASE_STEPS)));
	while (!quorum.leader) {
		quorum.advance(STEP_MS);
	}

	const first = quorum.leaderIndex;
	const others = quorum.voters.filter((_voter, index) => index !== first).map(voter => ({voter, order: random()})).sort((left, right) => left.order - right.order);
	const lost = [quorum.voters[first], ...others.slice(0, dead - 1).map(({voter}) => voter)];
	for (const voter of lost) {
		voter.crash();
	}

	const lostAt = quorum.now;
	while (!quorum.leader && quorum.now - lostAt < LIMIT_MS) {
		quorum.advance(STEP_MS);
	}

	return quorum.now - lostAt;
};
