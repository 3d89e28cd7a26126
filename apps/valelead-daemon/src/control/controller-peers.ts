import {create} from '@bufbuild/protobuf';
import {RESULT_CODE, type TimerService} from '@valelead/common';
import type {DiscoveredVoter, Voter as VoterRecord} from '@valelead/consensus';
import {
	type ChannelPool, type IdentifyReply, type JoinReply, Consensus, IdentifyRequestSchema, JoinRequestSchema,
} from '@valelead/protocol';
import {newCallTimeoutError} from '../new-call-timeout-error.js';
import {withTimeout} from '../with-timeout.js';

/** A controller that replied to an identify call. */
type IdentifiedPeer = {
	readonly address: string;
	readonly reply: IdentifyReply;
};

type PeersParts = {
	readonly vm: string;
	/** The address at which other controllers reach this voter. */
	readonly ownAddress: string;
	/** Addresses of the controllers in the settings. */
	readonly addresses: readonly string[];
	readonly pool: Pick<ChannelPool, 'get'>;
	readonly timers: TimerService;
};

const CALL_TIMEOUT_MS = 1000;

/**
 * Maximum rounds of join calls: to the known leader, or to the controllers of the settings and those they know; to all of these and the voters in the
 * log; and to the leader named by these.
 */
const MAX_JOIN_ROUNDS = 3;

const toFoundVoter = ({address, reply: {id, vm, isFormed, isStandby, isFounder, proposal, formation}}: IdentifiedPeer): DiscoveredVoter => ({
	voter: {
		id, vm, address, isLearner: false,
	},
	canVote: !isStandby,
	isFounder,
	isFormed,
	proposal,
	formation,
});

/** Calls the other controllers so that a voter can form a quorum or join one. */
export class ControllerPeers {
	readonly #parts: PeersParts;
	#configured: readonly string[];
	/** Addresses of voters reported by diskless controllers; the settings may list only such controllers. */
	#discovered: readonly string[] = [];

	constructor(parts: PeersParts) {
		this.#parts = parts;
		this.#configured = parts.addresses;
	}

	/** Addresses of the controllers in the settings, which may include this one. */
	get configured(): readonly string[] {
		return this.#configured;
	}

	/** Replaces the configured addresses after the settings have been reloaded. */
	configure(addresses: readonly string[]): void {
		this.#configured = addresses;
	}

	/** Returns the configured controllers that reply, and the voters reported by diskless ones if they already belong to a quorum. */
	async findVoters(): Promise<DiscoveredVoter[]> {
		const configured = await this.#identify(this.#configured);
		this.#recordDiscovered(configured);
		const named = await this.#identify(this.#discovered.filter(address => !this.#configured.includes(address)));
		return [...configured.map(peer => toFoundVoter(peer)), ...named.map(peer => toFoundVoter(peer)).filter(peer => peer.isFormed)];
	}

	/**
	 * Requests admission to the quorum. Only the leader admits voters. The leader may be missing from the settings, so every controller that is called
	 * replies with the leader's address. All addresses of a round are called in parallel because some controllers may be down.
	 * @param voterAddresses - Addresses of the voters in this voter's log, one of which may lead while all controllers of the settings are outside the
	 * quorum.
	 */
	async askToJoin(record: VoterRecord, leaderAddress: string, voterAddresses: readonly string[]): Promise<void> {
		const called = new Set(['', this.#parts.ownAddress]);
		let pending = leaderAddress === '' ? this.#known : [leaderAddress];
		for (let round = 0; round < MAX_JOIN_ROUNDS; round += 1) {
			const addresses = [...new Set(pending)].filter(address => !called.has(address));
			const replies = await Promise.all(addresses.map(async address => this.#join(address, record)));
			if (replies.some(reply => reply?.code === RESULT_CODE.Ok)) {
				return;
			}

			for (const address of addresses) {
				called.add(address);
			}

			pending = [...replies.map(reply => reply?.leaderAddress ?? ''), ...this.#known, ...voterAddresses];
		}
	}

	/** Announces this voter's address to the configured controllers that are not voters. Processes that start later may know only such controllers. */
	async announceToStandbys(voterAddresses: readonly string[]): Promise<void> {
		this.#recordDiscovered(await this.#identify(this.#configured.filter(address => !voterAddresses.includes(address))));
	}

	/** Stores the voters reported by standby controllers. These may know no voter right after a start; if none does, the earlier list is kept. */
	#recordDiscovered(peers: readonly IdentifiedPeer[]): void {
		const known = new Set([this.#parts.ownAddress, ...this.#configured]);
		const named = new Set(peers.flatMap(({reply}) => reply.isStandby ? reply.voterAddresses : []).filter(address => !known.has(address)));
		if (named.size > 0) {
			this.#discovered = [...named];
		}
	}

	get #known(): readonly string[] {
		return [...this.#configured, ...this.#discovered];
	}

	async #identify(addresses: readonly string[]): Promise<IdentifiedPeer[]> {
		const others = addresses.filter(address => address !== this.#parts.ownAddress);
		const found = await Promise.all(others.map(async address => this.#identifyOne(address)));
		return found.filter(peer => peer !== undefined);
	}

	async #identifyOne(address: string): Promise<IdentifiedPeer | undefined> {
		const {vm, ownAddress, pool} = this.#parts;
		try {
			const reply = await this.#withCallTimeout(pool.get(address).unary(Consensus.method.identify, create(IdentifyRequestSchema, {vm, address: ownAddress}), CALL_TIMEOUT_MS));
			// A voter that is still opening its data folder has no id yet.
			return reply.id === '' && !reply.isStandby ? undefined : {address, reply};
		} catch {
			// An unreachable controller is left out; the next search calls it again.
			return undefined;
		}
	}

	async #join(address: string, voter: VoterRecord): Promise<JoinReply | undefined> {
		try {
			return await this.#withCallTimeout(this.#parts.pool.get(address).unary(Consensus.method.join, create(JoinRequestSchema, {voter}), CALL_TIMEOUT_MS));
		} catch {
			// Another controller may reply.
			return undefined;
		}
	}

	/** Limits a call by the monotonic clock, because the gRPC library computes deadlines from the wall clock, which may step. */
	async #withCallTimeout<Reply>(call: Promise<Reply>): Promise<Reply> {
		return withTimeout(call, this.#parts.timers, CALL_TIMEOUT_MS, newCallTimeoutError);
	}
}
