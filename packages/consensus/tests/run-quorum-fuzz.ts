import {runFuzz} from '../../../tests/support/run-fuzz.js';
import type {FuzzOptions} from '../../../tests/support/fuzz-options.js';
import type {FuzzResult} from '../../../tests/support/fuzz-result.js';
import {FakeQuorum} from './fake-quorum.js';
import {QUORUM_COMMANDS} from './quorum-commands.js';
import type {Mutation} from './mutation.js';

/** Fuzzes a quorum of three voters that may lose one disk at a time. */
export const runQuorumFuzz = (options: FuzzOptions<Mutation>): FuzzResult => runFuzz({
	commands: QUORUM_COMMANDS,
	newReal(seed, mutation: Mutation) {
		const quorum = new FakeQuorum(seed, mutation, {size: 3, losses: 1});
		quorum.advance(1000);
		return quorum;
	},
}, options);
