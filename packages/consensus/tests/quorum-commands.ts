import fc from 'fast-check';
import {newFaultCommands} from './fault-commands.js';
import {newQuorumCommand} from './new-quorum-command.js';
import type {QuorumCommand} from './quorum-command.js';

const SIZE = 3;

/** Loses one disk once all VMs are voters. A second loss may follow as soon as the first one is repaired. */
const WIPE: fc.Arbitrary<QuorumCommand> = fc.nat({max: SIZE - 1}).map(voter => newQuorumCommand(`wipe ${voter}`, quorum => {
	quorum.heal();
	quorum.advance(4000);
	quorum.propose(quorum.leaderIndex);
	quorum.advance(20);
	quorum.wipe(voter);
}));

/** Fuzz commands for proposals, for faults and for the passing of time. */
export const QUORUM_COMMANDS: ReadonlyArray<fc.Arbitrary<QuorumCommand>> = [...newFaultCommands(SIZE), WIPE];
