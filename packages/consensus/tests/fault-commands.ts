import fc from 'fast-check';
import {newQuorumCommand} from './new-quorum-command.js';
import type {QuorumCommand} from './quorum-command.js';

/** Returns fuzz commands for proposals, for faults that lose no disk, and for the passing of time. */
export const newFaultCommands = (size: number): ReadonlyArray<fc.Arbitrary<QuorumCommand>> => {
	const anyVoter = fc.nat({max: size - 1});
	return [
		fc.integer({min: 10, max: 1500}).map(ms => newQuorumCommand(`advance ${ms}`, quorum => {
			quorum.advance(ms);
		})),
		anyVoter.map(voter => newQuorumCommand(`propose ${voter}`, quorum => {
			quorum.propose(voter);
			quorum.advance(20);
		})),
		anyVoter.map(voter => newQuorumCommand(`propose everywhere after ${voter}`, quorum => {
			for (let index = 0; index < size; index += 1) {
				quorum.propose((voter + index) % size);
			}

			quorum.advance(30);
		})),
		anyVoter.map(voter => newQuorumCommand(`crash ${voter}`, quorum => {
			quorum.crash(voter);
		})),
		anyVoter.map(voter => newQuorumCommand(`restart ${voter}`, quorum => {
			if (!quorum.voters[voter].isUp) {
				quorum.voters[voter].restart(quorum.now);
			}
		})),
		anyVoter.map(voter => newQuorumCommand(`crash and restart ${voter}`, quorum => {
			quorum.crash(voter);
			quorum.voters[voter].restart(quorum.now);
		})),
		anyVoter.map(voter => newQuorumCommand(`freeze ${voter}`, quorum => {
			quorum.voters[voter].isFrozen = quorum.voters[voter].isUp;
		})),
		anyVoter.map(voter => newQuorumCommand(`suspend ${voter}`, quorum => {
			quorum.voters[voter].suspend(quorum.now);
		})),
		fc.integer({min: 10, max: 60_000}).map(ms => newQuorumCommand(`suspend the leader for ${ms}`, quorum => {
			const voter = quorum.voters[Math.max(0, quorum.leaderIndex)];
			voter.suspend(quorum.now);
			quorum.advance(Math.min(ms, 2000));
			quorum.now += Math.max(0, ms - 2000);
			quorum.propose(Math.max(0, quorum.leaderIndex));
			quorum.advance(30);
			voter.thaw(quorum.now);
			quorum.advance(10);
		})),
		anyVoter.map(voter => newQuorumCommand(`thaw ${voter}`, quorum => {
			quorum.voters[voter].thaw(quorum.now);
		})),
		anyVoter.map(voter => newQuorumCommand(`slow disk ${voter}`, quorum => {
			quorum.voters[voter].isDiskSlow = true;
		})),
		fc.tuple(anyVoter, anyVoter).map(([from, to]) => newQuorumCommand(`block the link from ${from} to ${to}`, quorum => {
			quorum.blockLink(from, to);
		})),
		anyVoter.map(voter => newQuorumCommand(`isolate ${voter}`, quorum => {
			for (let other = 0; other < size; other += 1) {
				quorum.blockLink(voter, other);
				quorum.blockLink(other, voter);
			}
		})),
		fc.tuple(anyVoter, anyVoter).map(([left, right]) => newQuorumCommand(`partition ${left} and ${right}`, quorum => {
			quorum.blockLink(left, right);
			quorum.blockLink(right, left);
			quorum.advance(1000);
		})),
		anyVoter.map(voter => newQuorumCommand(`power loss right after a write, ${voter} first`, quorum => {
			for (const fake of quorum.voters) {
				fake.isDiskSlow = true;
			}

			quorum.propose(Math.max(0, quorum.leaderIndex));
			quorum.advance(30);
			for (let index = 0; index < size; index += 1) {
				quorum.crash((voter + index) % size);
			}

			quorum.heal();
		})),
		anyVoter.map(voter => newQuorumCommand(`partition the leader and ${voter} while another voter keeps restarting`, quorum => {
			const leader = quorum.leaderIndex;
			if (leader === -1 || leader === voter) {
				return;
			}

			quorum.blockLink(leader, voter);
			quorum.blockLink(voter, leader);
			quorum.advance(700);
			const other = quorum.voters.findIndex((_, index) => index !== leader && index !== voter);
			for (let restarts = 0; restarts < 20; restarts += 1) {
				quorum.crash(other);
				quorum.voters[other].restart(quorum.now);
				quorum.advance(40);
			}
		})),
		fc.constant(newQuorumCommand('heal', quorum => {
			quorum.heal();
			quorum.advance(50);
		})),
		fc.constant(newQuorumCommand('lossy network', quorum => {
			quorum.lossProbability = 0.2;
			quorum.duplicateProbability = 0.2;
			quorum.delayMs = 150;
		})),
		anyVoter.map(voter => newQuorumCommand(`transfer leadership to ${voter}`, quorum => {
			const target = quorum.voters[voter].record.id;
			quorum.leader?.handle({kind: 'transfer', to: target}, quorum.now);
		})),
		anyVoter.map(voter => newQuorumCommand(`compact ${voter}`, quorum => {
			const {state} = quorum.voters[voter];
			quorum.voters[voter].handle({kind: 'compact', index: state.appliedIndex, data: 'state'}, quorum.now);
		})),
	];
};
