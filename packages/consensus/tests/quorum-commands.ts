import fc from 'fast-check';
import {newFaultCommands} from './fault-commands.js';
import {newQuorumCommand} from './new-quorum-command.js';
import type {QuorumCommand} from './quorum-command.js';

const SIZE = 3;

/** The loss of a disk, once the quorum is whole; a second one may follow as soon as the first is repaired. */
const WIPE: fc.Arbitrary<QuorumCommand> = fc.nat({max: SIZE - 1}).map(voter => newQuorumCommand(`wipe ${voter}`, quorum => {
	quorum.heal();
	quorum.advance(4000);
	quorum.propose(quorum.leaderIndex);
	quorum.advance(20);
	quorum.wipe(voter);
}));

/** Proposals, faults and the passing of time, in any order and mix. */
export const QUORUM_COMMANDS: ReadonlyArray<fc.Arbitrary<QuorumCommand>> = [...newFaultCommands(SIZE), WIPE];
