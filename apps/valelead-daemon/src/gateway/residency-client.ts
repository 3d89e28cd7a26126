import {create} from '@bufbuild/protobuf';
import type {TimerService} from '@valelead/common';
import {
	type ChannelPool, type DemandReport, type EngineReport, DemandReportSchema, Residency,
} from '@valelead/protocol';
import type {UnitNeed} from '@valelead/residency';
import type {ClientDuplexStream} from '@grpc/grpc-js';
import type {Logger} from 'pino';
import type {TakeSpeedSamples} from './take-speed-samples.js';
import {getDemandText} from './get-demand-text.js';
import {NO_STORE_REPORT} from './no-store-report.js';
import type {StoreReport} from './store-report.js';

type Stream = ClientDuplexStream<DemandReport, EngineReport>;

type ClientParts = {
	readonly gateway: string;
	/** Address of the engine's manager, the process that sends the engine its load and unload orders. */
	readonly address: string;
	readonly engineAddress: string;
	/** True if the manager at this address manages other engines too, so that clients share the connection to it. */
	readonly isShared: boolean;
	readonly pool: ChannelPool;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Returns and resets what was measured at the engine since the last call; absent or undefined for nothing. */
	readonly takeSpeedSamples?: TakeSpeedSamples;
	/** Called with each report of the manager, and with undefined once the connection to it is lost. */
	readonly onReport: (report: EngineReport | undefined) => void;
};

const RECONNECT_MS = 300;

/** Sends the manager of one engine the units that this gateway needs there, and receives reports on the engine's models and copies. */
export class ResidencyClient {
	readonly #parts: ClientParts;
	#stream: Stream | undefined;
	#needs: readonly UnitNeed[] = [];
	#store = NO_STORE_REPORT;
	/** Text of the report that was last sent, to detect changes. */
	#sentText = getDemandText([], NO_STORE_REPORT);
	#isStopped = false;
	#isConnected = false;

	constructor(parts: ClientParts) {
		this.#parts = parts;
		this.#connect();
	}

	/** Sends all needs of this gateway on the engine, and its report on the weight store, if they changed; they replace what was sent before. */
	setNeeds(needs: readonly UnitNeed[], store: StoreReport): void {
		const text = getDemandText(needs, store);
		this.#needs = needs;
		this.#store = store;
		if (text !== this.#sentText) {
			this.#sentText = text;
			this.#send();
		}
	}

	/** Sends a report although the needs did not change, as it carries measurements that cannot wait. */
	sendMeasurements(): void {
		this.#send();
	}

	stop(): void {
		this.#isStopped = true;
		this.#stream?.cancel();
		if (!this.#parts.isShared) {
			this.#parts.pool.reset(this.#parts.address);
		}
	}

	#send(): void {
		this.#stream?.write(create(DemandReportSchema, {
			gateway: this.#parts.gateway,
			engineAddress: this.#parts.engineAddress,
			...this.#store,
			needs: this.#needs.map(need => ({...need, waits: [...need.waits]})),
			speed: this.#parts.takeSpeedSamples?.(this.#parts.engineAddress),
		}));
	}

	#connect(): void {
		if (this.#isStopped) {
			return;
		}

		const stream = this.#parts.pool.get(this.#parts.address).bidiStream(Residency.method.follow);
		this.#stream = stream;
		let last: EngineReport | undefined;
		stream.on('data', (report: EngineReport) => {
			if (this.#isStopped) {
				return;
			}

			this.#logConnected();
			last = report.areCopiesUnchanged && last ? {...report, copiesInMemory: last.copiesInMemory, copiesOnDisk: last.copiesOnDisk} : report;
			this.#parts.onReport(last);
		});
		const onLost = (): void => {
			this.#handleLoss(stream);
		};

		stream.on('error', onLost);
		stream.on('end', onLost);
		this.#send();
	}

	#logConnected(): void {
		if (!this.#isConnected) {
			this.#isConnected = true;
			this.#parts.logger.info({event: 'sidecar-connected', address: this.#parts.address, engineAddress: this.#parts.engineAddress}, 'connected to the manager of an engine');
		}
	}

	#handleLoss(stream: Stream): void {
		if (stream !== this.#stream || this.#isStopped) {
			return;
		}

		this.#stream = undefined;
		if (this.#isConnected) {
			this.#isConnected = false;
			this.#parts.logger.warn({event: 'sidecar-lost', address: this.#parts.address, engineAddress: this.#parts.engineAddress}, 'lost the connection to the manager of an engine');
		}

		this.#parts.onReport(undefined);
		this.#parts.timers.after(RECONNECT_MS, () => {
			this.#connect();
		});
	}
}
