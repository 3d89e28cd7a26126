import {create} from '@bufbuild/protobuf';
import type {Clock, TimerService} from '@valelead/common';
import {
	type ChannelPool, type IdentifyReply, Consensus, IdentifyRequestSchema,
} from '@valelead/protocol';
import type {Logger} from 'pino';
import {newCallTimeoutError} from '../new-call-timeout-error.js';
import {withTimeout} from '../with-timeout.js';

/** A controller that replied, with the leader and the voters that it knows. */
type FoundController = Pick<IdentifyReply, 'leaderAddress' | 'voterAddresses'> & {
	readonly address: string;
};

type FinderParts = {
	readonly vm: string;
	/** The address at which other controllers reach this process. */
	readonly ownAddress: string;
	/** Addresses of the controllers in the settings. */
	readonly addresses: readonly string[];
	readonly pool: Pick<ChannelPool, 'get' | 'reset'>;
	readonly clock: Clock;
	readonly timers: TimerService;
	readonly logger: Logger;
};

/** Time for which a found leader is cached, in milliseconds; an election takes several times longer. */
const CACHE_MS = 250;

/** Timeout of a call to a controller, in milliseconds; a controller that works replies within a few milliseconds. */
const CALL_TIMEOUT_MS = 400;

/** Maximum number of learned addresses: several times more than an installation has. Any process can report addresses, so the number is limited. */
const MAX_ADDRESSES = 64;

/** Maximum number of controllers that one search calls: learned addresses, those of the settings and those that the called controllers report. */
const MAX_CALLED = 2 * MAX_ADDRESSES;

/** Finds the leader on behalf of a process that is not a voter, by asking the known controllers on demand. */
export class LeaderFinder {
	readonly #parts: FinderParts;
	/** Addresses of the controllers in the settings. */
	#configured: readonly string[];
	/** Addresses that other controllers reported, the latest last. */
	readonly #learned = new Set<string>();
	#leader = '';
	#foundAt = Number.NEGATIVE_INFINITY;
	#search: Promise<string> | undefined;

	constructor(parts: FinderParts) {
		this.#parts = parts;
		this.#configured = parts.addresses;
	}

	/** Addresses of all known controllers except this one. */
	get addresses(): string[] {
		const addresses = new Set([...this.#configured, ...this.#learned]);
		addresses.delete(this.#parts.ownAddress);
		return [...addresses];
	}

	/** Replaces the configured addresses after the settings have been reloaded; the previous ones stay known. */
	configure(addresses: readonly string[]): void {
		this.addAddresses(this.#configured);
		this.#configured = addresses;
	}

	/** Remembers addresses of controllers. If there are too many, those that were reported longest ago are dropped. */
	addAddresses(addresses: readonly string[]): void {
		for (const address of addresses.filter(named => named !== '')) {
			this.#learned.delete(address);
			this.#learned.add(address);
		}

		for (const address of [...this.#learned].slice(0, -MAX_ADDRESSES)) {
			this.#learned.delete(address);
		}
	}

	/** Returns the leader's address; empty if no controller that replies knows a leader. Concurrent callers share one search. */
	async find(): Promise<string> {
		if (this.#leader !== '' && this.#parts.clock.now() - this.#foundAt < CACHE_MS) {
			return this.#leader;
		}

		this.#search ??= this.#searchLeader();
		try {
			return await this.#search;
		} finally {
			this.#search = undefined;
		}
	}

	async #searchLeader(): Promise<string> {
		const asked = new Set([this.#parts.ownAddress]);
		const found = await this.#identifyAll(this.addresses, asked);
		// A controller that reports itself as leader has newer information than the other controllers.
		const selfReported = found.find(reply => reply.leaderAddress === reply.address);
		const leader = selfReported?.address ?? found.find(reply => reply.leaderAddress !== '')?.leaderAddress ?? '';
		if (leader !== this.#leader) {
			this.#parts.logger.info({
				event: 'leader-named', leader, before: this.#leader, asked: asked.size - 1, answered: found.length, isConfirmed: selfReported !== undefined,
			}, leader === '' ? 'no controller names a leader' : 'the leader that callers are sent to');
		}

		this.#leader = leader;
		this.#foundAt = this.#parts.clock.now();
		return leader;
	}

	/** Calls controllers, and in turn those that they report. A diskless controller reports voters but no leader, as it may know an old one only. */
	async #identifyAll(addresses: readonly string[], asked: Set<string>): Promise<FoundController[]> {
		const pending = addresses.filter(address => address !== '' && !asked.has(address)).slice(0, MAX_CALLED - asked.size);
		for (const address of pending) {
			asked.add(address);
		}

		const found = await Promise.all(pending.map(async address => {
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
			// Needed because the gRPC library computes deadlines from the wall clock, which may step.
			const {leaderAddress, voterAddresses} = await withTimeout(call, timers, CALL_TIMEOUT_MS, newCallTimeoutError);
			return {address, leaderAddress, voterAddresses};
		} catch {
			// An unreachable controller is skipped. Its connection may be broken without an error, so the next call opens a new one.
			pool.reset(address);
			return undefined;
		}
	}
}
