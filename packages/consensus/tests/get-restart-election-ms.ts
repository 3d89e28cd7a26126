import {newRandom} from '../../../tests/support/new-random.js';
import {FakeQuorum} from './fake-quorum.js';

type Restart = {
	readonly voters: number;
	/** Number of voters that do not return, or return with an empty disk. */
	readonly lost: number;
};

const FORM_MS = 2000;
const STEP_MS = 10;
const LIMIT_MS = 20_000;

/** Returns the time without a leader after all voters were killed and those that keep their disks start at the same time, in milliseconds. */
export const getRestartElectionMs = (seed: number, {voters, lost}: Restart): number => {
	const random = newRandom(seed);
	const quorum = new FakeQuorum(seed, 'none', {size: voters, losses: lost});
	quorum.advance(FORM_MS);
	for (const voter of quorum.voters) {
		voter.crash();
	}

	quorum.advance(STEP_MS);
	for (const voter of quorum.voters.slice(lost)) {
		voter.restart(quorum.now, random());
	}

	const startedAt = quorum.now;
	while (!quorum.leader && quorum.now - startedAt < LIMIT_MS) {
		quorum.advance(STEP_MS);
	}

	return quorum.now - startedAt;
};
