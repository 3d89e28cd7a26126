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
	/** Hears of each engine whose own sidecar is reached for the first time. */
	readonly onAttended: () => void;
};

type Link = {
	readonly client: ResidencyClient;
	/** Where its other end is reached. */
	readonly keeperAddress: string;
};

/** One client for each engine, of the sidecar beside it or of the process that gives it orders in place of one. */
export class ResidencyClients implements EngineLinks {
	readonly #parts: ClientsParts;
	readonly #links = new Map<string, Link>();
	readonly #attended = new Set<string>();
	#addresses = new Map<string, string>();

	constructor(parts: ClientsParts) {
		this.#parts = parts;
	}

	/** The engines whose own sidecar was reached. */
	get attendedEngines(): string[] {
		return [...this.#attended];
	}

	/** Keeps clients for these engines and for no others. */
	follow(engines: readonly Upstream[]): void {
		this.#addresses = new Map(engines.map(engine => [engine.id, engine.address]));
		const keepers = new Map(engines.map(engine => [engine.address, engine.keeperAddress]));
		for (const [address, {client, keeperAddress}] of this.#links) {
			if (keepers.get(address) !== keeperAddress) {
				client.stop();
				this.#links.delete(address);
				this.#parts.onReport(address, undefined);
			}
		}

		for (const [address, keeperAddress] of keepers) {
			if (!this.#links.has(address)) {
				this.#links.set(address, {client: this.#newClient(address, keeperAddress), keeperAddress});
			}
		}
	}

	setNeeds(needs: ReadonlyMap<string, readonly UnitNeed[]>): void {
		for (const [upstreamId, address] of this.#addresses) {
			this.#links.get(address)?.client.setNeeds(needs.get(upstreamId) ?? []);
		}
	}

	stop(): void {
		for (const {client} of this.#links.values()) {
			client.stop();
		}

		this.#links.clear();
	}

	#newClient(engineAddress: string, keeperAddress: string): ResidencyClient {
		const isShared = keeperAddress !== '';
		return new ResidencyClient({
			gateway: this.#parts.gateway,
			address: isShared ? keeperAddress : `${getHost(engineAddress)}:${this.#parts.sidecarPort}`,
			engineAddress,
			isShared,
			pool: this.#parts.pool,
			timers: this.#parts.timers,
			logger: this.#parts.logger,
			onReport: report => {
				if (report && !isShared) {
					this.#noteAttended(engineAddress);
				}

				this.#parts.onReport(engineAddress, report);
			},
		});
	}

	#noteAttended(engineAddress: string): void {
		if (!this.#attended.has(engineAddress)) {
			this.#attended.add(engineAddress);
			this.#parts.onAttended();
		}
	}
}
