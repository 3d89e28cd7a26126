import type {FakeVoter} from './fake-voter.js';
import {type DiscoveredVoter, type Voter, getFormationDecision} from '@valelead/consensus';

type Poll = {
	readonly id: string;
	/** Virtual time at which each other VM is queried, by index. A VM that is down does not answer. */
	readonly queryAt: Map<number, number>;
	readonly found: DiscoveredVoter[];
	readonly endsAt: number;
};

const FORMATION_POLL_MS = 200;
const CALL_TIMEOUT_MS = 1000;

const newDiscoveredVoter = (voter: FakeVoter, proposal: readonly string[]): DiscoveredVoter => {
	const {snapshot, voters} = voter.state;
	const formation = snapshot.voters.length > 0 ? snapshot.voters : voters;
	return {
		voter: voter.record, canVote: true, isFounder: true, isFormed: voter.isFormed, proposal, formation: voter.isFormed ? formation : [],
	};
};

/** Simulates VMs with empty disks that query each other to form a quorum, as the daemon does. Each answer arrives at its own random time. */
export class FakeFormation {
	readonly #random: () => number;
	readonly #onFormed: (index: number, voters: readonly Voter[]) => void;
	readonly #polls = new Map<number, Poll>();
	/** Ids of the voters with which each voter would form a quorum, by its own id. */
	readonly #proposals = new Map<string, readonly string[]>();

	/** @param onFormed - Called when a VM starts with the given voters; a VM without any waits to be admitted. */
	constructor(random: () => number, onFormed: (index: number, voters: readonly Voter[]) => void) {
		this.#random = random;
		this.#onFormed = onFormed;
	}

	/** @param isReached - Returns true if messages from one VM reach another one. */
	advance(now: number, voters: readonly FakeVoter[], isReached: (from: number, to: number) => boolean): void {
		for (const [index, {record, isUp, isFrozen, isFormed}] of voters.entries()) {
			const poll = this.#polls.get(index);
			if (!isUp || isFormed) {
				this.#polls.delete(index);
			} else if (poll?.id !== record.id) {
				this.#polls.set(index, this.#newPoll(now, record.id, index, voters.length));
			} else if (!isFrozen) {
				this.#query(now, index, poll, voters, isReached);
			}
		}
	}

	#newPoll(now: number, id: string, index: number, count: number): Poll {
		const startsAt = now + (this.#random() * FORMATION_POLL_MS);
		const others = Array.from({length: count}, (_, other) => other).filter(other => other !== index);
		const callMs = this.#random() < 0.5 ? FORMATION_POLL_MS : CALL_TIMEOUT_MS;
		return {
			id,
			queryAt: new Map(others.map(other => [other, startsAt + (this.#random() * callMs)])),
			found: [],
			endsAt: startsAt + callMs,
		};
	}

	#query(now: number, index: number, poll: Poll, voters: readonly FakeVoter[], isReached: (from: number, to: number) => boolean): void {
		for (const [other, at] of poll.queryAt) {
			if (now >= at) {
				poll.queryAt.delete(other);
				const {isUp, isFrozen} = voters[other];
				if (isUp && !isFrozen && isReached(index, other) && isReached(other, index)) {
					poll.found.push(newDiscoveredVoter(voters[other], this.#proposals.get(voters[other].record.id) ?? []));
				}
			}
		}

		if (now >= poll.endsAt) {
			this.#polls.delete(index);
			this.#decide(index, poll, voters);
		}
	}

	#decide(index: number, poll: Poll, voters: readonly FakeVoter[]): void {
		const decision = getFormationDecision(voters[index].record, voters.length, poll.found);
		if (decision.kind === 'wait') {
			this.#proposals.set(poll.id, decision.proposal);
			return;
		}

		this.#onFormed(index, decision.kind === 'form' ? decision.voters : []);
	}
}
