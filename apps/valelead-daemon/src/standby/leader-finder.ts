import {create} from '@bufbuild/protobuf';
import {
	type Clock, type TimerService, RESULT_CODE, ValeleadError,
} from '@valelead/common';
import {
	type ChannelPool, type IdentifyReply, Consensus, IdentifyRequestSchema,
} from '@valelead/protocol';
import type {Logger} from 'pino';
import {withTimeout} from '../with-timeout.js';

type FoundController = Pick<IdentifyReply, 'leaderAddress' | 'voterAddresses'> & {
	readonly address: string;
};

type FinderParts = {
	readonly vm: string;
	/** Where this process is reached itself. */
	readonly ownAddress: string;
	/** Controllers that the settings name. */
	readonly addresses: readonly string[];
	readonly pool: Pick<ChannelPool, 'get' | 'reset'>;
	readonly clock: Clock;
	readonly timers: TimerService;
	readonly logger: Logger;
};

/** An answer is passed on for this long, in milliseconds: an election takes some times longer. */
const FRESH_MS = 250;

/** A controller that does not answer within this time is left out, in milliseconds; an answer takes some. */
const CALL_TIMEOUT_MS = 400;

/** Named controllers that are remembered: some times more than an installation has; what anyone may name is bounded. */
const MAX_ADDRESSES = 64;

/** Controllers that one search asks: those that are remembered, those of the settings and those that they name. */
const MAX_ASKED = 2 * MAX_ADDRESSES;

/** Finds the leader for a process that is not a voter, by asking controllers when somebody wants to know. */
export class LeaderFinder {
	readonly #parts: FinderParts;
	/** Controllers that the settings name. */
	#configured: readonly string[];
	/** Controllers that others named, the latest last. */
	readonly #learned = new Set<string>();
	#leader = '';
	#foundAt = Number.NEGATIVE_INFINITY;
	#search: Promise<string> | undefined;

	constructor(parts: FinderParts) {
		this.#parts = parts;
		this.#configured = parts.addresses;
	}

	get addresses(): string[] {
		const addresses = new Set([...this.#configured, ...this.#learned]);
		addresses.delete(this.#parts.ownAddress);
		return [...addresses];
	}

	/** Takes the controllers that changed settings name. */
	configure(addresses: readonly string[]): void {
		this.addAddresses(this.#configured);
		this.#configured = addresses;
	}

	/** Remembers controllers, and forgets those that were named longest ago where there are too many. */
	addAddresses(addresses: readonly string[]): void {
		for (const address of addresses.filter(named => named !== '')) {
			this.#learned.delete(address);
			this.#learned.add(address);
		}

		for (const address of [...this.#learned].slice(0, -MAX_ADDRESSES)) {
			this.#learned.delete(address);
		}
	}

	/** The leader's address, or empty where no controller that answers knows one. */
	async find(): Promise<string> {
		if (this.#leader !== '' && this.#parts.clock.now() - this.#foundAt < FRESH_MS) {
			return this.#leader;
		}

		this.#search ??= this.#ask();
		try {
			return await this.#search;
		} finally {
			this.#search = undefined;
		}
	}

	async #ask(): Promise<string> {
		const asked = new Set([this.#parts.ownAddress]);
		const found = await this.#identifyAll(this.addresses, asked);
		// Its own word on who leads is newer than that of the others.
		const leading = found.find(reply => reply.leaderAddress === reply.address);
		const leader = leading?.address ?? found.find(reply => reply.leaderAddress !== '')?.leaderAddress ?? '';
		if (leader !== this.#leader) {
			this.#parts.logger.info({
				event: 'leader-named', leader, before: this.#leader, asked: asked.size - 1, answered: found.length, isConfirmed: leading !== undefined,
			}, leader === '' ? 'no controller names a leader' : 'the leader that callers are sent to');
		}

		this.#leader = leader;
		this.#foundAt = this.#parts.clock.now();
		return leader;
	}

	/** Asks controllers, and at once those that they name: one without a disk names voters only, as what it heard of the leader may be old. */
	async #identifyAll(addresses: readonly string[], asked: Set<string>): Promise<FoundController[]> {
		const open = addresses.filter(address => address !== '' && !asked.has(address)).slice(0, MAX_ASKED - asked.size);
		for (const address of open) {
			asked.add(address);
		}

		const found = await Promise.all(open.map(async address => {
			const reply = await this.#identify(address);
			this.addAddresses(reply?.voterAddresses ?? []);
			return reply ? [reply, ...await this.#identifyAll(reply.voterAddresses, asked)] : [];
		}));
		return found.flat();
	}

	async #identify(address: string): Promise<FoundController | undefined> {
		const {vm, pool, timers} = this.#parts;
		try {
			const call = pool.get(address).unary(Consensus.method.identify, create(IdentifyRequestSchema, {vm}), CALL_TIMEOUT_MS);
			// The library measures its deadline by the time of day, which may step.
			const {leaderAddress, voterAddresses} = await withTimeout(call, timers, CALL_TIMEOUT_MS, new ValeleadError('No answer in time', {code: RESULT_CODE.NoQuorum}));
			return {address, leaderAddress, voterAddresses};
		} catch {
			// A controller that is down names nobody; its connection may be a silent one.
			pool.reset(address);
			return undefined;
		}
	}
}
