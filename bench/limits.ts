/** Compares ways to keep to the limit that an upstream names over all gateways: how much of it is used, and what is sent for it. */
import process from 'node:process';
import {type Quota, type QuotaTolerance, QUOTA_UNIT} from '@valelead/quota';
import {formatRow} from './format-row.js';
import {EqualSharing} from './quota/equal-sharing.js';
import {LentSharing} from './quota/lent-sharing.js';
import {playSharing} from './quota/play-sharing.js';
import type {Sharing} from './quota/sharing.js';

const SEEDS = [1, 2, 3, 4, 5];
const GATEWAYS = [9, 27, 300];
const LIMITS = [0.3, 1.6, 10];
const SHARES = [0.55, 4];
/** As the leader lends requests to upstreams that limit them. */
const TOLERANCE: QuotaTolerance = {windowMs: 4000, overshoot: 0.25, slack: 3};
const TRAFFIC_SECONDS = 40;

const WAYS: ReadonlyArray<{readonly name: string; readonly make: (gateways: number, quota: Quota) => Sharing}> = [
	{name: 'equal shares', make: (gateways, quota) => new EqualSharing(gateways, quota, TOLERANCE)},
	{name: 'lent at need', make: (gateways, quota) => new LentSharing(gateways, quota, TOLERANCE, false)},
	{name: 'lent, with stock', make: (gateways, quota) => new LentSharing(gateways, quota, TOLERANCE, true)},
];

const play = (make: (typeof WAYS)[number]['make'], terms: {readonly gateways: number; readonly limit: number; readonly share: number}): Readonly<Record<string, string | number>> => {
	const {gateways, limit, share} = terms;
	const quota: Quota = {
		unit: QUOTA_UNIT.Request, perSecond: limit, burst: 0, plainTokens: 0,
	};
	const sharings = SEEDS.map(() => make(gateways, quota));
	const served = sharings.reduce((total, sharing, index) => total + playSharing(sharing, {
		seed: SEEDS[index], gateways, quota, share, cost: 1, clump: 1,
	}).served, 0);
	const messages = sharings.reduce((total, sharing) => total + sharing.messages, 0) / SEEDS.length / TRAFFIC_SECONDS;
	return {
		gateways, limit, asked: share, usedOfLimit: (served / SEEDS.length / TRAFFIC_SECONDS / limit).toFixed(2), messagesPerSecond: messages.toFixed(1),
	};
};

for (const gateways of GATEWAYS) {
	for (const limit of LIMITS) {
		for (const share of SHARES) {
			for (const {name, make} of WAYS) {
				process.stdout.write(`${formatRow(name, play(make, {gateways, limit, share}))}\n`);
			}
		}
	}
}
