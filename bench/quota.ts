/** Compares ways to share a team's quota among gateways: what is refused below the quota, and what is sent for it. */
import process from 'node:process';
import {type Quota, type QuotaTolerance, QUOTA_UNIT} from '@valelead/quota';
import {formatRow} from './format-row.js';
import {EqualSharing} from './quota/equal-sharing.js';
import {LentSharing} from './quota/lent-sharing.js';
import {playSharing} from './quota/play-sharing.js';
import type {Sharing} from './quota/sharing.js';

const SEEDS = [1, 2, 3, 4, 5];
const GATEWAYS = [27, 400];
const RATES = [4000, 16_000, 64_000];
const SHARES = [0.55, 4];
const TOLERANCE: QuotaTolerance = {windowMs: 8000, overshoot: 0.1, slack: 17_000};
const TRAFFIC_SECONDS = 40;
const COST = 1000;
const CLUMP = 3;

const WAYS: ReadonlyArray<{readonly name: string; readonly make: (gateways: number, quota: Quota) => Sharing}> = [
	{name: 'equal shares', make: (gateways, quota) => new EqualSharing(gateways, quota, TOLERANCE)},
	{name: 'lent at need', make: (gateways, quota) => new LentSharing(gateways, quota, TOLERANCE, false)},
	{name: 'lent, with stock', make: (gateways, quota) => new LentSharing(gateways, quota, TOLERANCE, true)},
];

const getPercent = (part: number, whole: number): string => whole === 0 ? '-' : `${(100 * part / whole).toFixed(1)}%`;

const play = (make: (typeof WAYS)[number]['make'], terms: {readonly gateways: number; readonly rate: number; readonly share: number}): Readonly<Record<string, string | number>> => {
	const {gateways, rate, share} = terms;
	const quota: Quota = {
		unit: QUOTA_UNIT.Token, perSecond: rate, burst: rate, plainTokens: 1,
	};
	const sharings = SEEDS.map(() => make(gateways, quota));
	const counts = sharings.map((sharing, index) => playSharing(sharing, {
		seed: SEEDS[index], gateways, quota, share, cost: COST, clump: CLUMP,
	}));
	const sum = (pick: (count: (typeof counts)[number]) => number): number => counts.reduce((total, count) => total + pick(count), 0);
	const messages = sharings.reduce((total, sharing) => total + sharing.messages, 0) / SEEDS.length / TRAFFIC_SECONDS;
	return {
		gateways,
		rate,
		asked: share,
		refusedBelow: getPercent(sum(count => count.refusedAllowed), sum(count => count.sent - count.sentLeaderless)),
		refusedLeaderless: getPercent(sum(count => count.refusedLeaderless), sum(count => count.sentLeaderless)),
		served: getPercent(sum(count => count.served), sum(count => count.sent)),
		messagesPerSecond: messages.toFixed(1),
	};
};

for (const gateways of GATEWAYS) {
	for (const rate of RATES) {
		for (const share of SHARES) {
			for (const {name, make} of WAYS) {
				process.stdout.write(`${formatRow(name, play(make, {gateways, rate, share}))}\n`);
			}
		}
	}
}
