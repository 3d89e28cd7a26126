import {Buffer} from 'node:buffer';
import {create} from '@bufbuild/protobuf';
import {
	type Clock, type TimerService, RESULT_CODE, ValeleadError,
} from '@valelead/common';
import {
	type ChannelPool, LookUpRequestSchema, SoleVersionRequestSchema, StreamOrigins,
} from '@valelead/protocol';
import {type OriginRecord, type StreamOrigin, getHolders} from '@valelead/stream-origin';
import type {Logger} from 'pino';
import {afterEventLoopIterations} from '../after-event-loop-iterations.js';
import {withTimeout} from '../with-timeout.js';
import {decodeOrigin} from './decode-origin.js';
import {OriginLink} from './origin-link.js';
import {OriginStore} from './origin-store.js';
import type {OriginRecorder} from './origin-recorder.js';

type ClientParts = {
	readonly pool: Pick<ChannelPool, 'get'>;
	readonly clock: Clock;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Called with the result of each lookup: `own`, `found` or `unknown`. */
	readonly onLookup: (result: string) => void;
};

/** Turns of the event loop in which the gRPC library hands a message to the socket of an open connection. */
const TURNS_TO_SEND = 2;

/** A holder that does not reply within this time is ignored, in milliseconds. */
const LOOK_UP_TIMEOUT_MS = 300;

/**
 * Waits before the holders are asked once, twice and so on, in milliseconds. A record may still be on its way when the caller already resumes the stream;
 * a lost packet is sent again after some 200 ms.
 */
const LOOK_UP_WAITS_MS = [0, 50, 200];

/**
 * Stores the origins of this gateway's streams at several voters, and finds the origins of other gateways' streams there. An origin is sent before the
 * first event of its stream is, but no confirmation is awaited: a record that is lost with this gateway means that the stream is not resumed.
 */
export class OriginClient implements OriginRecorder {
	readonly #parts: ClientParts;
	/** The origins of streams that began at this gateway and are not complete. */
	readonly #own: OriginStore;
	readonly #links = new Map<string, OriginLink>();
	#addresses: readonly string[] = [];

	constructor(parts: ClientParts) {
		this.#parts = parts;
		this.#own = new OriginStore(parts);
	}

	/** Sets the addresses of all voters. Each stream's origin is stored at some of them. */
	setVoterAddresses(addresses: readonly string[]): void {
		const isUnchanged = addresses.length === this.#addresses.length && addresses.every(address => this.#addresses.includes(address));
		if (addresses.length === 0 || isUnchanged) {
			return;
		}

		this.#addresses = [...addresses];
		for (const [address, link] of this.#links) {
			if (addresses.includes(address)) {
				link.sendAll();
			} else {
				link.stop();
				this.#links.delete(address);
			}
		}

		for (const address of addresses) {
			if (!this.#links.has(address)) {
				this.#links.set(address, this.#newLink(address));
			}
		}
	}

	record(record: OriginRecord, onSent: () => void): void {
		this.#own.record(record);
		for (const address of getHolders(record.key, this.#addresses)) {
			this.#links.get(address)?.send(record);
		}

		afterEventLoopIterations(TURNS_TO_SEND, onSent);
	}

	forget(key: string): void {
		this.#own.forget(key);
	}

	/**
	 * Returns the origin of a stream; undefined if no process that replies knows it.
	 * @param requestId - The id of the attempt that resumes the stream, for the log.
	 */
	async lookUp(key: string, requestId: string): Promise<StreamOrigin | undefined> {
		const startedAt = this.#parts.clock.now();
		const own = this.#own.get(key);
		const origin = own ?? await this.#lookUpAtHolders(key);
		const result = own ? 'own' : (origin ? 'found' : 'unknown');
		this.#parts.onLookup(result);
		this.#parts.logger.info({
			event: 'origin-lookup',
			requestId,
			key,
			result,
			asked: own ? 0 : this.#addresses.length,
			runId: origin?.runId,
			softwareVersion: origin?.softwareVersion,
			tookMs: Math.round(this.#parts.clock.now() - startedAt),
		}, 'looked up where a stream began');
		return origin;
	}

	/**
	 * Returns the version at which every stream of a route began, by a leader that is asked now; empty if there are several, an unknown one or other services
	 * than the given one.
	 * Resolves with undefined if no leader replies.
	 */
	async findSoleVersion(route: string, service: string): Promise<string | undefined> {
		return this.#askAll(async address => this.#askVersion(address, route, service));
	}

	stop(): void {
		for (const link of this.#links.values()) {
			link.stop();
		}

		this.#links.clear();
	}

	#newLink(address: string): OriginLink {
		return new OriginLink({
			...this.#parts,
			address,
			getRecords: () => this.#own.all.filter(({key}) => getHolders(key, this.#addresses).includes(address)),
		});
	}

	/** Asks all voters, as another gateway may have known other ones when it chose the holders. */
	async #lookUpAtHolders(key: string): Promise<StreamOrigin | undefined> {
		return this.#askAll(async address => this.#ask(address, key));
	}

	/** Asks all voters at once, some times, and returns the first answer; undefined if none gives one. */
	async #askAll<Value>(ask: (address: string) => Promise<Value>): Promise<Value | undefined> {
		for (const [round, waitMs] of LOOK_UP_WAITS_MS.entries()) {
			if (waitMs > 0) {
				await this.#parts.timers.wait(waitMs);
			}

			try {
				return await Promise.any(this.#addresses.map(async address => ask(address)));
			} catch (error) {
				const reasons = (error as AggregateError).errors.map(String);
				this.#parts.logger.debug({event: 'origin-not-found', round, reasons}, 'no voter knows where a stream began');
			}
		}

		return undefined;
	}

	async #askVersion(address: string, route: string, service: string): Promise<string> {
		const request = create(SoleVersionRequestSchema, {route, service});
		const call = this.#parts.pool.get(address).unary(StreamOrigins.method.getSoleVersion, request, LOOK_UP_TIMEOUT_MS);
		const newError = (): ValeleadError => new ValeleadError(`${address} does not know the versions`, {code: RESULT_CODE.StreamOriginUnknown});
		const {isKnown, softwareVersion} = await withTimeout(call, this.#parts.timers, LOOK_UP_TIMEOUT_MS, newError);
		if (!isKnown) {
			throw newError();
		}

		return softwareVersion;
	}

	async #ask(address: string, key: string): Promise<StreamOrigin> {
		const request = create(LookUpRequestSchema, {key: Buffer.from(key, 'hex')});
		const call = this.#parts.pool.get(address).unary(StreamOrigins.method.lookUp, request, LOOK_UP_TIMEOUT_MS);
		const newError = (): ValeleadError => new ValeleadError(`No reply of ${address}`, {code: RESULT_CODE.StreamOriginUnknown});
		// Needed because the gRPC library computes deadlines from the wall clock, which may step.
		const {origin} = await withTimeout(call, this.#parts.timers, LOOK_UP_TIMEOUT_MS, newError);
		if (!origin) {
			throw new ValeleadError(`${address} does not know the stream`, {code: RESULT_CODE.StreamOriginUnknown});
		}

		return decodeOrigin(origin, this.#parts.clock.now());
	}
}
