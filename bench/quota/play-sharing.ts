import type {Quota} from '@valelead/quota';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import type {Sharing} from './sharing.js';

type SharingTerms = {
	readonly seed: number;
	readonly gateways: number;
	readonly quota: Quota;
	/** What is asked for, as a share of the quota. */
	readonly share: number;
	/** What a request counts, and how many come at the same moment. */
	readonly cost: number;
	readonly clump: number;
};

type SharingCounts = {
	sent: number;
	/** Refused with a leader, though one bucket for all gateways would have let them through. */
	refusedAllowed: number;
	sentLeaderless: number;
	refusedLeaderless: number;
	served: number;
};

const WARM_MS = 20_000;
const LENGTH_MS = 60_000;
const LEADERLESS_FROM_MS = 40_000;
const LEADERLESS_MS = 1500;
const HEARTBEAT_MS = 500;
const STEP_MS = 10;
const MS_PER_SECOND = 1000;

/** Clumps of requests at random gateways, after a time without any, and a while without a leader. */
export const playSharing = (sharing: Sharing, {seed, gateways, quota, share, cost, clump}: SharingTerms): SharingCounts => {
	const random = xoroshiro128plus(seed);
	const clumpsPerStep = share * quota.perSecond / cost * STEP_MS / MS_PER_SECOND / clump;
	const counts: SharingCounts = {
		sent: 0, refusedAllowed: 0, sentLeaderless: 0, refusedLeaderless: 0, served: 0,
	};
	let level = quota.burst;
	let isLed = true;
	for (let now = 0; now < LENGTH_MS; now += STEP_MS) {
		const isNowLed = now < LEADERLESS_FROM_MS || now >= LEADERLESS_FROM_MS + LEADERLESS_MS;
		if (isNowLed !== isLed) {
			isLed = isNowLed;
			sharing.setLed(isLed, now);
		}

		for (let gateway = 0; gateway < gateways; gateway += 1) {
			if ((now + (gateway * STEP_MS)) % HEARTBEAT_MS === 0) {
				sharing.report(gateway, now);
			}
		}

		level = Math.min(quota.burst, level + (quota.perSecond * STEP_MS / MS_PER_SECOND));
		const isCalled = now >= WARM_MS && uniformFloat64(random) < clumpsPerStep % 1;
		const clumps = now >= WARM_MS ? Math.floor(clumpsPerStep) + (isCalled ? 1 : 0) : 0;
		for (let index = 0; index < clumps * clump; index += 1) {
			const isAllowed = level >= cost;
			level -= isAllowed ? cost : 0;
			const isServed = sharing.ask(uniformInt(random, 0, gateways - 1), cost, now);
			counts.sent += 1;
			counts.served += isServed ? 1 : 0;
			counts.refusedAllowed += isServed || !isAllowed || !isLed ? 0 : 1;
			counts.sentLeaderless += isLed ? 0 : 1;
			counts.refusedLeaderless += isServed || isLed ? 0 : 1;
		}
	}

	return counts;
};
