import {PassThrough} from 'node:stream';
import type {Clock} from '@valelead/common';
import type {
	Channel, LookUpReply, LookUpRequest, StreamOriginBatch,
} from '@valelead/protocol';
import type {VirtualProcess} from '../../../tests/support/virtual-process.js';
import type {VirtualTime} from '../../../tests/support/virtual-time.js';
import type {SimulatedHolder} from './simulated-holder.js';
import {newOriginService} from 'valelead-daemon';

type PoolParts = {
	readonly time: VirtualTime;
	readonly clock: Clock;
	readonly holders: ReadonlyMap<string, SimulatedHolder>;
	/** The gateway that uses this pool. */
	readonly process: VirtualProcess;
	/** True while the gateway and the holder cannot reach each other. */
	readonly isCut: (address: string) => boolean;
	readonly getDelayMs: () => number;
};

type RecordCall = {
	readonly address: string;
	readonly client: PassThrough;
	readonly holderRun: number;
};

/** Callers name the attempt that began their stream, so versions are not asked for. */
const NO_VERSIONS = {getSole: () => undefined};
const NO_ROUTES = {isSole: () => undefined};

/** Time after which the end of a process, or a lost connection, is noticed, in milliseconds. */
const RESET_MS = 5;
const KEEPALIVE_MS = 2500;

/** The gRPC calls between a gateway and the holders of origins, over a simulated network that loses what is sent while it is cut. */
export class SimulatedOriginPool {
	readonly #parts: PoolParts;
	readonly #gatewayRun: number;
	readonly #calls = new Set<RecordCall>();

	constructor(parts: PoolParts) {
		this.#parts = parts;
		this.#gatewayRun = parts.process.run;
	}

	get(address: string): Channel {
		return {
			bidiStream: () => this.#openCall(address),
			unary: async (_method: unknown, request: LookUpRequest) => this.#lookUp(address, request),
		} as unknown as Channel;
	}

	/** Breaks the calls to a holder that has ended or is cut off. */
	breakCalls(address: string, afterMs: number): void {
		for (const call of [...this.#calls].filter(open => open.address === address)) {
			this.#breakCall(call, afterMs);
		}
	}

	/** Breaks the calls to a holder that is cut off, once keepalive notices. */
	noteCut(address: string): void {
		this.breakCalls(address, KEEPALIVE_MS);
	}

	noteEnd(address: string): void {
		this.breakCalls(address, RESET_MS);
	}

	#breakCall(call: RecordCall, afterMs: number): void {
		this.#toGateway(afterMs, () => {
			if (this.#calls.delete(call)) {
				call.client.emit('error', new Error('the connection is lost'));
			}
		});
	}

	#toGateway(afterMs: number, action: () => void): void {
		const {time, process} = this.#parts;
		time.after(afterMs, () => {
			if (process.run === this.#gatewayRun) {
				process.take(action);
			}
		});
	}

	/** Delivers to a run of a holder, unless the connection is cut when it is sent or when it arrives. */
	#toHolder(address: string, run: number, action: (holder: SimulatedHolder) => void): void {
		const {time, holders, isCut, getDelayMs} = this.#parts;
		const holder = holders.get(address)!;
		if (isCut(address)) {
			return;
		}

		time.after(getDelayMs(), () => {
			if (!isCut(address) && holder.process.run === run) {
				holder.process.take(() => {
					action(holder);
				});
			}
		});
	}

	#openCall(address: string): unknown {
		const {holders, clock, isCut} = this.#parts;
		const holder = holders.get(address)!;
		const client = new PassThrough();
		const server = Object.assign(new PassThrough(), {write: () => undefined, end: () => undefined});
		const call = {address, client, holderRun: holder.process.run};
		this.#calls.add(call);
		newOriginService({
			store: holder.store, versions: NO_VERSIONS, routes: NO_ROUTES, clock,
		}).record(server as never, undefined as never);
		if (!holder.process.isUp || isCut(address)) {
			this.#breakCall(call, holder.process.isUp ? KEEPALIVE_MS : RESET_MS);
		}

		return Object.assign(client, {
			write: (batch: StreamOriginBatch) => {
				this.#toHolder(address, call.holderRun, () => {
					server.emit('data', batch);
				});
			},
			cancel: () => {
				this.#calls.delete(call);
			},
		});
	}

	async #lookUp(address: string, request: LookUpRequest): Promise<LookUpReply> {
		const {clock, holders, getDelayMs, isCut} = this.#parts;
		const {run} = holders.get(address)!.process;
		return new Promise(resolve => {
			this.#toHolder(address, run, ({store}) => {
				newOriginService({
					store, versions: NO_VERSIONS, routes: NO_ROUTES, clock,
				}).lookUp({request} as never, ((_error: unknown, reply: LookUpReply) => {
					if (!isCut(address)) {
						this.#toGateway(getDelayMs(), () => {
							resolve(reply);
						});
					}
				}) as never);
			});
		});
	}
}
