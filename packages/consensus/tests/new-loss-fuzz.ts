import {runFuzz} from '../../../tests/support/run-fuzz.js';
import type {FuzzOptions} from '../../../tests/support/fuzz-options.js';
import type {FuzzResult} from '../../../tests/support/fuzz-result.js';
import {FakeQuorum} from './fake-quorum.js';
import {newFaultCommands} from './fault-commands.js';
import {newLossCommands} from './loss-commands.js';
import type {Mutation} from './mutation.js';
import type {QuorumOptions} from './quorum-options.js';

/**
 * Returns a function that fuzzes a quorum which loses as many disks at once as it must tolerate. With the mutation `too few voters`, only one voter
 * remains after such a loss, although a majority is needed.
 */
export const newLossFuzz = (site: QuorumOptions) => (options: FuzzOptions<Mutation>): FuzzResult => {
	const played = options.mutation === 'too few voters' ? {...site, size: site.losses + 1} : site;
	return runFuzz({
		commands: [...newFaultCommands(played.size), ...newLossCommands(played)],
		newReal(seed, mutation: Mutation) {
			const quorum = new FakeQuorum(seed, mutation, played);
			if (!played.isForming) {
				quorum.advance(1000);
			}

			return quorum;
		},
	}, options);
};
