import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import type {QuotaModel} from './quota-model.js';

type TrafficOptions = {
	readonly random: RandomGenerator;
	/** Requests per second. */
	readonly perSecond: number;
	/** Units per request. */
	readonly cost: number;
	/** Number of requests that arrive at the same time, each at a random gateway. */
	readonly batchSize: number;
	readonly durationMs: number;
	/** Start and duration of the time without a leader; the next leader knows no loans. */
	readonly leaderless: {readonly from: number; readonly durationMs: number};
};

type TrafficCounts = {
	sent: number;
	/**
	 * Requests that were refused although a single token bucket for all gateways, which fills at the rate of the quota, would have admitted them.
	 */
	refusedAllowed: number;
	sentLeaderless: number;
	refusedLeaderless: number;
};

const HEARTBEAT_MS = 500;
const STEP_MS = 10;
const MS_PER_SECOND = 1000;

/** A single token bucket for all gateways, with the burst as its capacity, that fills at the rate of the quota. */
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

	/** Returns true if the bucket admits a request, and takes the units of the request in this case. */
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

/**
 * Simulates requests of one team at random gateways, and the reports of the gateways; each request runs as soon as its gateway has the units for
 * it.
 */
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
