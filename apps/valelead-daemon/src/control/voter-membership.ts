import {
	type TimerService, RESULT_CODE, SYSTEM_CLOCK, ValeleadError,
} from '@valelead/common';
import {
	type ConsensusNode, type Voter as VoterRecord, getMinVoters, getNextMembership,
} from '@valelead/consensus';
import type {Logger} from 'pino';
import type {ControllerPeers} from './controller-peers.js';

type MembershipParts = {
	/** Returns the consensus node; undefined until the voter belongs to a quorum. */
	readonly getNode: () => ConsensusNode | undefined;
	readonly getRecord: () => VoterRecord;
	readonly peers: ControllerPeers;
	/** Number of voters that may fail at the same time, from the settings. */
	readonly faultTolerance: number;
	readonly timers: TimerService;
	readonly logger: Logger;
};

/** Interval between checks of the membership, in milliseconds; admitting a voter takes three such steps. */
const POLL_MS = 300;

/** Interval at which the leader announces its address to controllers without a vote, in milliseconds; short compared with the start of a process. */
const ANNOUNCE_INTERVAL_MS = 2000;

/** A quorum that is too small is expected to grow for this long after its formation or its last join, in milliseconds: several polls. */
const GROWTH_MS = 2000;
const GROWTH_POLL_MS = 20;

/** Maximum delay of an acknowledgement for a growing quorum, in milliseconds; members that keep joining and leaving would delay it forever. */
const MAX_GROWTH_WAIT_MS = 3000;

/** A voter that has been silent for this time may be removed from the quorum, in milliseconds; longer than an election takes. */
const SILENT_VOTER_MS = 2000;

/** Keeps a voter in its quorum; while the voter is the leader, also admits voters that join and removes silent ones. */
export class VoterMembership {
	readonly #parts: MembershipParts;
	#isStopped = false;
	#announcedAt = Number.NEGATIVE_INFINITY;

	constructor(parts: MembershipParts) {
		this.#parts = parts;
	}

	start(): void {
		void this.#run();
	}

	stop(): void {
		this.#isStopped = true;
	}

	/** As leader, takes the next step of admitting a voter: as learner first, then as member once its log has caught up. */
	async admit(voter: VoterRecord): Promise<void> {
		const node = this.#parts.getNode();
		const next = node && getNextMembership(node.voters, voter, node.isCaughtUp(voter.id));
		if (next) {
			await node.configure(next);
			this.#parts.logger.info({event: 'voters-changed', voters: next.map(member => `${member.vm}/${member.id}`)}, 'voters changed');
		}
	}

	/**
	 * Resolves once the quorum tolerates the configured number of failures, or has stopped growing. Until then that many failures would lose the quorum,
	 * no matter which controllers have copies. An operator's change is therefore acknowledged only afterwards; leases, elections and joins need only the
	 * commit and never wait.
	 */
	async waitForVoters(): Promise<void> {
		const {getNode, faultTolerance, timers} = this.#parts;
		const leastVoters = getMinVoters(faultTolerance);
		const endsAt = SYSTEM_CLOCK.now() + MAX_GROWTH_WAIT_MS;
		while (getNode()?.isExpectingVoters(leastVoters, GROWTH_MS) && SYSTEM_CLOCK.now() < endsAt) {
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
			await this.#removeSilentVoter();
			void this.#announceToStandbys();
		}
	}

	/** Requests admission for as long as this voter is not, or may no longer be, a member of the quorum. */
	async #join(): Promise<void> {
		const node = this.#parts.getNode();
		if (node?.isAskingToJoin) {
			await this.#parts.peers.askToJoin(this.#parts.getRecord(), node.leader?.address ?? '', node.voters.map(({address}) => address));
		}
	}

	async #announceToStandbys(): Promise<void> {
		const node = this.#parts.getNode();
		const now = SYSTEM_CLOCK.now();
		if (node?.isCurrentLeader && now - this.#announcedAt >= ANNOUNCE_INTERVAL_MS) {
			this.#announcedAt = now;
			await this.#parts.peers.announceToStandbys(node.voters.map(voter => voter.address));
		}
	}

	/** As leader, removes a silent learner, or a silent voter if the others then need a smaller majority and still tolerate enough failures. */
	async #removeSilentVoter(): Promise<void> {
		const {getNode, faultTolerance, logger} = this.#parts;
		const node = getNode();
		const voters = node?.getVotersWithoutSilent(SILENT_VOTER_MS, getMinVoters(faultTolerance));
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
