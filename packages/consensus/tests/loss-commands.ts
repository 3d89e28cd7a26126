import fc from 'fast-check';
import {newQuorumCommand} from './new-quorum-command.js';
import type {FakeQuorum} from './fake-quorum.js';
import type {QuorumCommand} from './quorum-command.js';
import type {QuorumOptions} from './quorum-options.js';

const CATCH_UP_MS = 6500;
const STEP_MS = 10;

/** Restarts all voters and waits until joining members have caused the given number of voter changes, with a command after each change. */
const mutateUntilVotersChanged = (quorum: FakeQuorum, changes: number): void => {
	quorum.restart(true);
	let index = quorum.leader?.state.votersIndex;
	let left = changes;
	for (let ms = 0; ms < CATCH_UP_MS && left > 0; ms += STEP_MS) {
		quorum.advance(STEP_MS);
		const next = quorum.leader?.state.votersIndex ?? index;
		if (next !== index) {
			index = next;
			left -= 1;
			quorum.propose(quorum.leaderIndex);
		}
	}
};

/** Returns fuzz commands that lose as many disks at once as the quorum tolerates, and restart their VMs, at random times. */
export const newLossCommands = ({size, losses}: QuorumOptions): ReadonlyArray<fc.Arbitrary<QuorumCommand>> => {
	const anyVoters = fc.uniqueArray(fc.nat({max: size - 1}), {minLength: losses, maxLength: losses});
	const soon = fc.integer({min: 0, max: 100});
	const later = fc.integer({min: 0, max: 3000});
	return [
		anyVoters.map(voters => newQuorumCommand(`lose ${voters.join(' and ')}`, quorum => {
			quorum.loseDisks(voters);
		})),
		fc.tuple(anyVoters, later).map(([voters, ms]) => newQuorumCommand(`lose ${voters.join(' and ')}, all others their power for ${ms}`, quorum => {
			quorum.loseDisks(voters);
			quorum.losePower();
			quorum.advance(ms);
			quorum.restart(false);
		})),
		fc.tuple(anyVoters, soon).map(([voters, ms]) => newQuorumCommand(`lose the leader and ${voters.join(' and ')} ${ms} after a proposal`, quorum => {
			const leader = Math.max(0, quorum.leaderIndex);
			quorum.propose(leader);
			quorum.advance(ms);
			quorum.loseDisks([leader, ...voters]);
		})),
		fc.tuple(anyVoters, later).map(([voters, ms]) => newQuorumCommand(`lose ${voters.join(' and ')} one by one, ${ms} between`, quorum => {
			for (const voter of voters) {
				quorum.loseDisks([voter]);
				quorum.advance(ms);
			}
		})),
		later.map(ms => newQuorumCommand(`all come back, ${ms} pass`, quorum => {
			quorum.restart(true);
			quorum.advance(ms);
		})),
		fc.tuple(fc.nat({max: size - 1}), later).map(([voter, ms]) => newQuorumCommand(`all come back, ${ms} pass, lose ${voter}`, quorum => {
			quorum.restart(true);
			quorum.advance(ms);
			quorum.loseDisks([voter]);
		})),
		later.map(ms => newQuorumCommand(`all come back, ${ms} pass, the leader restarts`, quorum => {
			quorum.restart(true);
			quorum.advance(ms);
			quorum.crash(Math.max(0, quorum.leaderIndex));
			quorum.restart(true);
		})),
		fc.tuple(later, later).map(([ms, downMs]) => newQuorumCommand(`all come back, ${ms} pass, all lose power for ${downMs}`, quorum => {
			quorum.restart(true);
			quorum.advance(ms);
			quorum.losePower();
			quorum.advance(downMs);
			quorum.restart(true);
		})),
		fc.array(anyVoters, {minLength: 2, maxLength: 4}).map(rounds => newQuorumCommand(`lose ${rounds.map(voters => voters.join('+')).join(', ')}, each as soon as the last have votes`, quorum => {
			for (const voters of rounds) {
				quorum.propose(Math.max(0, quorum.leaderIndex));
				quorum.advance(20);
				quorum.loseDisks(voters);
				quorum.restart(true);
				for (let ms = 0; ms < CATCH_UP_MS && quorum.lostCount > 0; ms += STEP_MS) {
					quorum.advance(STEP_MS);
				}
			}
		})),
		fc.tuple(fc.integer({min: 1, max: 5}), soon, anyVoters).map(([changes, ms, voters]) => newQuorumCommand(`lose ${voters.join(' and ')} ${ms} after ${changes} changes of voters`, quorum => {
			mutateUntilVotersChanged(quorum, changes);
			quorum.advance(ms);
			quorum.loseDisks(voters);
		})),
		fc.tuple(fc.integer({min: 1, max: 5}), soon).map(([changes, ms]) => newQuorumCommand(`lose the leader ${ms} after ${changes} changes of voters`, quorum => {
			mutateUntilVotersChanged(quorum, changes);
			quorum.advance(ms);
			quorum.loseDisks([Math.max(0, quorum.leaderIndex)]);
		})),
		fc.tuple(fc.integer({min: 1, max: 5}), soon, anyVoters).map(([changes, ms, voters]) => newQuorumCommand(`all lose power, ${voters.join('+')} disks, ${ms} after ${changes} changes`, quorum => {
			mutateUntilVotersChanged(quorum, changes);
			quorum.advance(ms);
			quorum.loseDisks(voters);
			quorum.losePower();
			quorum.restart(false);
		})),
		fc.tuple(fc.integer({min: 1, max: 5}), soon, fc.nat({max: size - 1})).map(([changes, ms, voter]) => newQuorumCommand(`split the leader and ${voter} ${ms} after ${changes} changes`, quorum => {
			mutateUntilVotersChanged(quorum, changes);
			quorum.advance(ms);
			const leader = Math.max(0, quorum.leaderIndex);
			quorum.blockLink(leader, voter);
			quorum.blockLink(voter, leader);
		})),
		anyVoters.map(voters => newQuorumCommand(`heal, catch up, lose ${voters.join(' and ')}`, quorum => {
			quorum.heal();
			quorum.advance(CATCH_UP_MS);
			quorum.propose(Math.max(0, quorum.leaderIndex));
			quorum.advance(20);
			quorum.loseDisks(voters);
		})),
	];
};
