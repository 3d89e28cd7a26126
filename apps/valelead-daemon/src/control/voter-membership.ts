import {
	type TimerService, RESULT_CODE, SYSTEM_CLOCK, ValeleadError,
} from '@valelead/common';
import {
	type ConsensusNode, type Voter as VoterRecord, getLeastVoters, getNextMembership,
} from '@valelead/consensus';
import type {Logger} from 'pino';
import type {ControllerPeers} from './controller-peers.js';

type MembershipParts = {
	/** The voter's node, once it belongs to a quorum. */
	readonly getNode: () => ConsensusNode | undefined;
	readonly getRecord: () => VoterRecord;
	readonly peers: ControllerPeers;
	/** Losses at once that the settings state. */
	readonly faultTolerance: number;
	readonly timers: TimerService;
	readonly logger: Logger;
};

/** How often a voter looks at its membership, in milliseconds; letting one in takes three such steps. */
const POLL_MS = 300;

/** How often the leader tells controllers that are no voters where it is, in milliseconds: soon against the time that a process takes to start. */
const TELL_MS = 2000;

/** A quorum that is too small is expected to grow for this long after it was formed, or after its last member joined, in milliseconds: some polls. */
const GROWTH_MS = 2000;
const GROWTH_POLL_MS = 20;

/** An acknowledgement is held no longer for a quorum that grows, in milliseconds: members may come and go without end. */
const MOST_HELD_MS = 3000;

/** A voter is let go after this silence where the others are better off without it, in milliseconds: longer than an election takes. */
const SILENT_VOTER_MS = 2000;

/** Keeps one voter a member of its quorum and, while it leads, the quorum's members those that are there. */
export class VoterMembership {
	readonly #parts: MembershipParts;
	#isStopped = false;
	#toldAt = Number.NEGATIVE_INFINITY;

	constructor(parts: MembershipParts) {
		this.#parts = parts;
	}

	start(): void {
		void this.#run();
	}

	stop(): void {
		this.#isStopped = true;
	}

	/** As leader, takes the next step of letting a voter in. */
	async admit(voter: VoterRecord): Promise<void> {
		const node = this.#parts.getNode();
		const next = node && getNextMembership(node.voters, voter, node.isCaughtUp(voter.id));
		if (next) {
			await node.configure(next);
			this.#parts.logger.info({event: 'voters-changed', voters: next.map(member => `${member.vm}/${member.id}`)}, 'voters changed');
		}
	}

	/**
	 * Resolves once the quorum bears the losses that the settings state, or does not grow any more. Before that they end the quorum, whoever holds copies;
	 * so an operator's change is acknowledged after it, while leases, elections and those that join rest on the commit alone and never wait.
	 */
	async waitForVoters(): Promise<void> {
		const {getNode, faultTolerance, timers} = this.#parts;
		const leastVoters = getLeastVoters(faultTolerance);
		const endsAt = SYSTEM_CLOCK.now() + MOST_HELD_MS;
		while (getNode()?.isGrowing(leastVoters, GROWTH_MS) && SYSTEM_CLOCK.now() < endsAt) {
			await timers.wait(GROWTH_POLL_MS);
			if (!getNode()?.isLeader) {
				throw new ValeleadError('Another voter leads now', {code: RESULT_CODE.NotLeader});
			}
		}
	}

	async #run(): Promise<void> {
		while (!this.#isStopped) {
			await this.#parts.timers.wait(POLL_MS);
			await this.#join();
			await this.#dropSilent();
			void this.#tellOthers();
		}
	}

	/** A voter that the quorum does not count, or may not count any more, asks to be let in until it is. */
	async #join(): Promise<void> {
		const node = this.#parts.getNode();
		if (node?.isAskingToJoin) {
			await this.#parts.peers.askToJoin(this.#parts.getRecord(), node.leader?.address ?? '');
		}
	}

	async #tellOthers(): Promise<void> {
		const node = this.#parts.getNode();
		const now = SYSTEM_CLOCK.now();
		if (node?.isCurrentLeader && now - this.#toldAt >= TELL_MS) {
			this.#toldAt = now;
			await this.#parts.peers.announceToStandbys(node.voters.map(voter => voter.address));
		}
	}

	/** As leader, lets a voter go that is not heard of, where the others are better off without it. */
	async #dropSilent(): Promise<void> {
		const {getNode, faultTolerance, logger} = this.#parts;
		const node = getNode();
		const voters = node?.getReducedVoters(SILENT_VOTER_MS, getLeastVoters(faultTolerance));
		if (!node || !voters) {
			return;
		}

		try {
			await node.configure(voters);
			logger.info({event: 'voters-changed', silentMs: SILENT_VOTER_MS, voters: voters.map(member => `${member.vm}/${member.id}`)}, 'a silent voter was removed');
		} catch (error) {
			logger.info({event: 'voters-kept', reason: (error as Error).message}, 'a silent voter could not be removed yet');
		}
	}
}
