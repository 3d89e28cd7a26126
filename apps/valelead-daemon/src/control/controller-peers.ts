import {create} from '@bufbuild/protobuf';
import {RESULT_CODE, type TimerService, ValeleadError} from '@valelead/common';
import type {FoundVoter, Voter as VoterRecord} from '@valelead/consensus';
import {
	type ChannelPool, type IdentifyReply, type JoinReply, Consensus, IdentifyRequestSchema, JoinRequestSchema,
} from '@valelead/protocol';
import {withTimeout} from '../with-timeout.js';

/** A controller that answered. */
type AnsweringPeer = {
	readonly address: string;
	readonly reply: IdentifyReply;
};

type PeersParts = {
	readonly vm: string;
	/** Where this voter is reached itself. */
	readonly ownAddress: string;
	/** Controllers that the settings name. */
	readonly addresses: readonly string[];
	readonly pool: Pick<ChannelPool, 'get'>;
	readonly timers: TimerService;
};

const CALL_TIMEOUT_MS = 1000;

/** The leader that is known, those that the settings and others name, and the leader that these name. */
const JOIN_ROUNDS = 3;

const toFoundVoter = ({address, reply: {id, vm, isFormed, isStandby, proposal, formation}}: AnsweringPeer): FoundVoter => ({
	voter: {
		id, vm, address, isLearner: false,
	},
	canVote: !isStandby,
	isFormed,
	proposal,
	formation,
});

/** The other controllers, as a voter reaches them to form a quorum or to join one. */
export class ControllerPeers {
	readonly #parts: PeersParts;
	#configured: readonly string[];
	/** Voters that controllers without a disk named. The settings may name only such controllers. */
	#named: readonly string[] = [];

	constructor(parts: PeersParts) {
		this.#parts = parts;
		this.#configured = parts.addresses;
	}

	/** Controllers that the settings name, this one included where it is among them. */
	get configured(): readonly string[] {
		return this.#configured;
	}

	/** Takes the controllers that changed settings name. */
	configure(addresses: readonly string[]): void {
		this.#configured = addresses;
	}

	/** The controllers of the settings that answer, and those among the voters that they name which belong to a quorum. */
	async find(): Promise<FoundVoter[]> {
		const configured = await this.#identify(this.#configured);
		this.#noteNamed(configured);
		const named = await this.#identify(this.#named.filter(address => !this.#configured.includes(address)));
		return [...configured.map(peer => toFoundVoter(peer)), ...named.map(peer => toFoundVoter(peer)).filter(peer => peer.isFormed)];
	}

	/**
	 * Asks to be let into the quorum. Only the leader lets a voter in, and may be a controller that the settings do not name: whoever is asked says where it
	 * is. All are asked at once, as some may be down and answer nothing.
	 */
	async askToJoin(record: VoterRecord, leaderAddress: string): Promise<void> {
		const asked = new Set(['', this.#parts.ownAddress]);
		let open = leaderAddress === '' ? this.#known : [leaderAddress];
		for (let round = 0; round < JOIN_ROUNDS; round += 1) {
			const addresses = [...new Set(open)].filter(address => !asked.has(address));
			const replies = await Promise.all(addresses.map(async address => this.#join(address, record)));
			if (replies.some(reply => reply?.code === RESULT_CODE.Ok)) {
				return;
			}

			for (const address of addresses) {
				asked.add(address);
			}

			open = [...replies.map(reply => reply?.leaderAddress ?? ''), ...this.#known];
		}
	}

	/** Tells controllers of the settings that are no voters where this one is: processes that start later may be told of them only. */
	async announceToStandbys(voterAddresses: readonly string[]): Promise<void> {
		this.#noteNamed(await this.#identify(this.#configured.filter(address => !voterAddresses.includes(address))));
	}

	/** Some may know nobody else since their start; where all do, those that were named before are kept. */
	#noteNamed(peers: readonly AnsweringPeer[]): void {
		const known = new Set([this.#parts.ownAddress, ...this.#configured]);
		const named = new Set(peers.flatMap(({reply}) => reply.isStandby ? reply.voterAddresses : []).filter(address => !known.has(address)));
		if (named.size > 0) {
			this.#named = [...named];
		}
	}

	get #known(): readonly string[] {
		return [...this.#configured, ...this.#named];
	}

	async #identify(addresses: readonly string[]): Promise<AnsweringPeer[]> {
		const others = addresses.filter(address => address !== this.#parts.ownAddress);
		const found = await Promise.all(others.map(async address => this.#identifyOne(address)));
		return found.filter(peer => peer !== undefined);
	}

	async #identifyOne(address: string): Promise<AnsweringPeer | undefined> {
		const {vm, ownAddress, pool} = this.#parts;
		try {
			const reply = await this.#inTime(pool.get(address).unary(Consensus.method.identify, create(IdentifyRequestSchema, {vm, address: ownAddress}), CALL_TIMEOUT_MS));
			// A voter that is still opening its disk has no id yet.
			return reply.id === '' && !reply.isStandby ? undefined : {address, reply};
		} catch {
			// It is asked again, or others are.
			return undefined;
		}
	}

	async #join(address: string, voter: VoterRecord): Promise<JoinReply | undefined> {
		try {
			return await this.#inTime(this.#parts.pool.get(address).unary(Consensus.method.join, create(JoinRequestSchema, {voter}), CALL_TIMEOUT_MS));
		} catch {
			// Another voter may answer.
			return undefined;
		}
	}

	/** The library measures its deadline by the time of day, which may step. */
	async #inTime<Reply>(call: Promise<Reply>): Promise<Reply> {
		return withTimeout(call, this.#parts.timers, CALL_TIMEOUT_MS, new ValeleadError('No answer in time', {code: RESULT_CODE.NoQuorum}));
	}
}
