import type {AdmissionRequest, LaneCost} from '@valelead/admission';
import type {Clock, TimerService} from '@valelead/common';
import type {Upstream} from '@valelead/discovery';
import type {EngineReport, SpeedSamples} from '@valelead/protocol';
import {getSpeedCost} from '@valelead/residency';
import type {GatewaySettings} from '../settings/gateway-settings.js';
import {EngineSpeeds} from './engine-speeds.js';
import {newReuseCost} from './new-reuse-cost.js';
import {SpeedMeter} from './speed-meter.js';
import type {AttemptOptions} from './attempt-options.js';

type ChoiceParts = {
	readonly scheduling: Pick<GatewaySettings['scheduling'], 'promptReuse' | 'speed'>;
	readonly clock: Clock;
	readonly timers: TimerService;
	/** Returns the memory of an engine of a service, in tokens; 0 if the service has no engines. */
	readonly getCacheTokens: (service: string) => number;
	/** Called for each request that prefers the engine that has read the shared parts of its prompt. */
	readonly onPreferred: (request: AdmissionRequest) => void;
	/** Sends what was measured at the engine of an address without waiting for the next report. */
	readonly sendMeasurements: (address: string) => void;
};

/** The costs by which a gateway chooses among the engines that can serve a request: by measured speed and by the prompts that they have read. */
export class EngineChoice {
	/** The costs of the parts that the settings switch on. */
	readonly costs: readonly LaneCost[];
	readonly #speeds: EngineSpeeds;
	/** Undefined if speeds are switched off. */
	readonly #meter: SpeedMeter | undefined;

	constructor(parts: ChoiceParts) {
		this.#speeds = new EngineSpeeds(parts.clock);
		this.#meter = parts.scheduling.speed ? this.#newMeter(parts) : undefined;
		this.costs = [
			...(parts.scheduling.speed ? [this.#newSpeedCost()] : []),
			...(parts.scheduling.promptReuse ? [this.#newReuseCost(parts)] : []),
		];
	}

	/** Number of engines that count as slower than the median of their service. */
	get slowEngines(): number {
		return this.#speeds.slowCount;
	}

	/** Returns the options of an attempt, which is measured if speeds are switched on. */
	newMeasured(options: AttemptOptions): AttemptOptions {
		return this.#meter?.measure(options) ?? options;
	}

	takeSpeedSamples(address: string): SpeedSamples | undefined {
		return this.#meter?.take(address);
	}

	setUpstreams(upstreams: readonly Upstream[]): void {
		this.#speeds.setUpstreams(upstreams);
		this.#meter?.retain(new Set(upstreams.map(upstream => upstream.address)));
	}

	/** Sets the last report on the engine at an address; undefined once the connection to its manager is lost. */
	setReport(address: string, report: EngineReport | undefined): void {
		this.#speeds.setReport(address, report);
	}

	#newSpeedCost(): LaneCost {
		return (_request, loads) => {
			// All upstreams of a choice belong to one service.
			const [first] = loads.keys();
			const factors = this.#speeds.getFactors(first.vm);
			return endpoint => {
				const factor = factors.get(endpoint.vm);
				return factor === undefined ? 0 : getSpeedCost(factor, loads.get(endpoint) ?? 0);
			};
		};
	}

	#newReuseCost({scheduling, getCacheTokens, onPreferred}: ChoiceParts): LaneCost {
		return newReuseCost({
			getCacheTokens: upstreamId => getCacheTokens(this.#speeds.getService(upstreamId) ?? ''),
			getFactors: upstreamId => scheduling.speed ? this.#speeds.getFactors(upstreamId) : new Map(),
			onPreferred,
		});
	}

	#newMeter({clock, timers, sendMeasurements}: ChoiceParts): SpeedMeter {
		return new SpeedMeter({
			clock,
			timers,
			onPending: (address, samples) => {
				if (this.#speeds.isDeviating(address, samples)) {
					sendMeasurements(address);
				}
			},
		});
	}
}
