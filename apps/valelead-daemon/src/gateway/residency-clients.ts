import type {TimerService} from '@valelead/common';
import type {Upstream} from '@valelead/discovery';
import type {ChannelPool, EngineReport} from '@valelead/protocol';
import type {UnitNeed} from '@valelead/residency';
import type {Logger} from 'pino';
import {getHost} from '../get-host.js';
import {ResidencyClient} from './residency-client.js';
import type {EngineLinks} from './engine-links.js';
import type {TakeSpeedSamples} from './take-speed-samples.js';
import type {StoreReport} from './store-report.js';

type ClientsParts = {
	readonly gateway: string;
	readonly sidecarPort: number;
	readonly pool: ChannelPool;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly takeSpeedSamples?: TakeSpeedSamples;
	readonly onReport: (address: string, report: EngineReport | undefined) => void;
	/** Called when the sidecar of an engine is reached for the first time. */
	readonly onAttended: () => void;
};

type Link = {
	readonly client: ResidencyClient;
	/** Address of the manager; empty if the engine has its own sidecar. */
	readonly managerAddress: string;
};

/** Holds one client for each engine, connected to the manager of the engine: its sidecar, or a gateway that manages it in place of one. */
export class ResidencyClients implements EngineLinks {
	readonly #parts: ClientsParts;
	readonly #links = new Map<string, Link>();
	readonly #attended = new Set<string>();
	#addresses = new Map<string, string>();

	constructor(parts: ClientsParts) {
		this.#parts = parts;
	}

	/** Addresses of the engines whose own sidecar has been reached at least once. */
	get attendedEngines(): string[] {
		return [...this.#attended];
	}

	/** Creates clients for these engines and stops the clients of all others. */
	follow(engines: readonly Upstream[]): void {
		this.#addresses = new Map(engines.map(engine => [engine.id, engine.address]));
		const managers = new Map<string, string>(engines.map(engine => [engine.address, engine.keeperAddress]));
		for (const [address, {client, managerAddress}] of this.#links) {
			if (managers.get(address) !== managerAddress) {
				client.stop();
				this.#links.delete(address);
				this.#parts.onReport(address, undefined);
			}
		}

		for (const [address, managerAddress] of managers) {
			if (!this.#links.has(address)) {
				this.#links.set(address, {client: this.#newClient(address, managerAddress), managerAddress});
			}
		}
	}

	setNeeds(needs: ReadonlyMap<string, readonly UnitNeed[]>, store: StoreReport): void {
		for (const [upstreamId, address] of this.#addresses) {
			this.#links.get(address)?.client.setNeeds(needs.get(upstreamId) ?? [], store);
		}
	}

	/** Sends what was measured at an engine without waiting for a change of the needs. */
	sendMeasurements(engineAddress: string): void {
		this.#links.get(engineAddress)?.client.sendMeasurements();
	}

	stop(): void {
		for (const {client} of this.#links.values()) {
			client.stop();
		}

		this.#links.clear();
	}

	#newClient(engineAddress: string, managerAddress: string): ResidencyClient {
		const isShared = managerAddress !== '';
		return new ResidencyClient({
			gateway: this.#parts.gateway,
			address: isShared ? managerAddress : `${getHost(engineAddress)}:${this.#parts.sidecarPort}`,
			engineAddress,
			isShared,
			pool: this.#parts.pool,
			timers: this.#parts.timers,
			logger: this.#parts.logger,
			takeSpeedSamples: this.#parts.takeSpeedSamples,
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
