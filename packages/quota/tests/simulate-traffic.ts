import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import type {QuotaModel} from './quota-model.js';

type TrafficOptions = {
	readonly random: RandomGenerator;
	/** Requests a second, and what each counts. */
	readonly perSecond: number;
	readonly cost: number;
	/** Requests that come at the same moment, each to any gateway. */
	readonly batchSize: number;
	readonly durationMs: number;
	/** Without a leader from this time on, and for how long; the next one knows nothing. */
	readonly leaderless: {readonly from: number; readonly durationMs: number};
};

type TrafficCounts = {
	sent: number;
	/** Refused although one bucket for all gateways, filled as the quota says, would have let them through. */
	refusedAllowed: number;
	sentLeaderless: number;
	refusedLeaderless: number;
};

const HEARTBEAT_MS = 500;
const STEP_MS = 10;
const MS_PER_SECOND = 1000;

/** One bucket for all gateways, which holds the burst and fills at the rate. */
class ReferenceBucket {
	readonly #perMs: number;
	readonly #capacity: number;
	#level: number;
	#at: number;

	constructor({perSecond, burst}: QuotaModel['quota'], now: number) {
		this.#perMs = perSecond / MS_PER_SECOND;
		this.#capacity = burst;
		this.#level = burst;
		this.#at = now;
	}

	/** Whether a request would be let through; it is counted if so. */
	take(now: number, cost: number): boolean {
		this.#level = Math.min(this.#capacity, this.#level + ((now - this.#at) * this.#perMs));
		this.#at = now;
		const isAllowed = this.#level >= cost;
		this.#level -= isAllowed ? cost : 0;
		return isAllowed;
	}
}

const sendBatch = (model: QuotaModel, {random, cost, batchSize}: TrafficOptions, reference: ReferenceBucket, isLed: boolean, counts: TrafficCounts): void => {
	for (let index = 0; index < batchSize; index += 1) {
		const gateway = uniformInt(random, 0, model.gateways.length - 1);
		const isAllowed = reference.take(model.now, cost);
		model.recordDemand(gateway, cost);
		let isServed = model.serve(gateway, cost);
		if (!isServed && isLed) {
			model.exchange(gateway, [cost]);
			isServed = model.serve(gateway, cost);
		}

		if (isServed) {
			model.settle(gateway, true);
		}

		counts.sent += 1;
		counts.refusedAllowed += isServed || !isAllowed ? 0 : 1;
		counts.sentLeaderless += isLed ? 0 : 1;
		counts.refusedLeaderless += isServed || isLed ? 0 : 1;
	}
};

/** Requests of one team at random gateways, with the gateways' reports between them; each one runs as soon as it may. */
export const simulateTraffic = (model: QuotaModel, options: TrafficOptions): TrafficCounts => {
	const counts: TrafficCounts = {
		sent: 0, refusedAllowed: 0, sentLeaderless: 0, refusedLeaderless: 0,
	};
	const {random, perSecond, batchSize, durationMs, leaderless} = options;
	const batchesPerStep = perSecond * STEP_MS / MS_PER_SECOND / batchSize;
	const startedAt = model.now;
	const reference = new ReferenceBucket(model.quota, startedAt);
	let wasLed = true;
	for (let at = 0; at < durationMs; at += STEP_MS) {
		const isLed = at < leaderless.from || at >= leaderless.from + leaderless.durationMs;
		if (isLed && !wasLed) {
			model.changeLeader();
		}

		wasLed = isLed;
		for (const gateway of model.gateways.keys()) {
			const isDue = (at + (gateway * STEP_MS)) % HEARTBEAT_MS === 0;
			if (isDue && isLed) {
				model.exchange(gateway);
			}
		}

		const batchCount = Math.floor(batchesPerStep) + (uniformFloat64(random) < batchesPerStep % 1 ? 1 : 0);
		for (let index = 0; index < batchCount; index += 1) {
			sendBatch(model, options, reference, isLed, counts);
		}

		model.advance(startedAt + at + STEP_MS - model.now);
	}

	return counts;
};
