import type {TimerService} from '@valelead/common';
import type {Upstream} from '@valelead/discovery';
import type {ChannelPool, EngineReport} from '@valelead/protocol';
import type {UnitNeed} from '@valelead/residency';
import type {Logger} from 'pino';
import {getHost} from '../get-host.js';
import {ResidencyClient} from './residency-client.js';
import type {EngineLinks} from './engine-links.js';

type ClientsParts = {
	readonly gateway: string;
	readonly sidecarPort: number;
	readonly pool: ChannelPool;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly onReport: (address: string, report: EngineReport | undefined) => void;
};

/** One client for the sidecar beside each engine. */
export class ResidencyClients implements EngineLinks {
	readonly #parts: ClientsParts;
	readonly #clients = new Map<string, ResidencyClient>();
	#addresses = new Map<string, string>();

	constructor(parts: ClientsParts) {
		this.#parts = parts;
	}

	/** Keeps clients for these engines and for no others. */
	follow(engines: readonly Upstream[]): void {
		this.#addresses = new Map(engines.map(engine => [engine.id, engine.address]));
		const addresses = new Set(this.#addresses.values());
		for (const address of addresses) {
			if (!this.#clients.has(address)) {
				this.#clients.set(address, this.#newClient(address));
			}
		}

		for (const [address, client] of this.#clients) {
			if (!addresses.has(address)) {
				client.stop();
				this.#clients.delete(address);
				this.#parts.onReport(address, undefined);
			}
		}
	}

	setNeeds(needs: ReadonlyMap<string, readonly UnitNeed[]>): void {
		for (const [upstreamId, address] of this.#addresses) {
			this.#clients.get(address)?.setNeeds(needs.get(upstreamId) ?? []);
		}
	}

	stop(): void {
		for (const client of this.#clients.values()) {
			client.stop();
		}

		this.#clients.clear();
	}

	#newClient(address: string): ResidencyClient {
		return new ResidencyClient({
			gateway: this.#parts.gateway,
			address: `${getHost(address)}:${this.#parts.sidecarPort}`,
			pool: this.#parts.pool,
			timers: this.#parts.timers,
			logger: this.#parts.logger,
			onReport: report => {
				this.#parts.onReport(address, report);
			},
		});
	}
}
