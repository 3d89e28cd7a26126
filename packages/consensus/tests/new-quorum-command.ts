import type {QuorumCommand} from './quorum-command.js';
import type {FakeQuorum} from './fake-quorum.js';

/** Returns a named step of a fuzzing run. */
export const newQuorumCommand = (text: string, run: (quorum: FakeQuorum) => void): QuorumCommand => ({
	check: () => true,
	run(_model, quorum) {
		run(quorum);
	},
	toString: () => text,
});
