import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Deployment} from './deployment.js';
import type {Trace} from './trace.js';
import type {TraceRequest} from './trace-request.js';

/** What a trace is made of. */
type TraceShape = 'daily' | 'bursts' | 'holiday' | 'slow-store' | 'reclaim' | 'flood';

const HOUR_MS = 3_600_000;
const DURATION_MS = 4 * HOUR_MS;
const TEAMS = 12;
const FLOOD_TEAM = 'team-0';
const FLOOD_REQUESTS = 20_000;

/** Mean time between sessions of the most used model; the n-th is used n times less. */
const BUSIEST_GAP_MS = 120_000;

const newRandom = (seed: number): () => number => {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
};

/** Heavy-tailed: many short gaps, a few very long ones (Pareto with shape 1.5, mean three times its least). */
const getGapMs = (random: () => number, meanMs: number): number => meanMs / 3 * ((1 - random()) ** (-1 / 1.5));

/** Demand over the day: low at both ends, twice the mean in the middle. */
const getDailyShare = (at: number): number => 0.2 + (1.6 * Math.sin(Math.PI * at / DURATION_MS));

const addSession = (requests: TraceRequest[], deployment: Deployment, random: () => number, at: number, unit: string, size: number): void => {
	const classNames = Object.keys(deployment.classes);
	const className = classNames[Math.floor(random() * classNames.length)];
	const team = `team-${Math.floor(random() * TEAMS)}`;
	let time = at;
	for (let index = 0; index < size; index += 1) {
		requests.push({
			at: time, unit, team, className, serviceMs: 500 + (random() * 3000),
		});
		time += random() * 3000;
	}
};

const addModel = (requests: TraceRequest[], deployment: Deployment, random: () => number, rank: number, shape: TraceShape): void => {
	const unit = `m${rank}@v1`;
	const isPeak = shape === 'holiday' && rank < 8;
	let at = random() * BUSIEST_GAP_MS * (rank + 1);
	while (at < DURATION_MS) {
		const burst = shape === 'bursts' ? 12 : 3;
		addSession(requests, deployment, random, at, unit, 1 + Math.floor(random() * burst));
		const speed = getDailyShare(at) * (isPeak && at > DURATION_MS / 2 ? 4 : 1);
		at += 5000 + getGapMs(random, BUSIEST_GAP_MS * (rank + 1) / speed);
	}
};

const addFlood = (requests: TraceRequest[], random: () => number): void => {
	for (let index = 0; index < FLOOD_REQUESTS; index += 1) {
		requests.push({
			at: (DURATION_MS / 3) + (random() * HOUR_MS), unit: 'm0@v1', team: FLOOD_TEAM, className: '', serviceMs: 1000,
		});
	}
};

/** A seeded trace of one deployment: sparse, heavy-tailed sessions with a daily shape. */
export const newTrace = (deployment: Deployment, shape: TraceShape, seed: number): Trace => {
	const random = newRandom(seed);
	const requests: TraceRequest[] = [];
	for (let rank = 0; rank < deployment.models; rank += 1) {
		addModel(requests, deployment, random, rank, shape);
	}

	if (shape === 'flood') {
		addFlood(requests, random);
	}

	const [firstClass] = Object.keys(deployment.classes);
	return {
		name: `${deployment.name}-${shape}`,
		durationMs: DURATION_MS,
		requests: requests
			.filter(request => request.at < DURATION_MS)
			.map(request => request.className === '' ? {...request, className: firstClass} : request)
			.sort((left, right) => left.at - right.at),
		storeSlowdown: shape === 'slow-store' ? 5 : 1,
		...(shape === 'reclaim' && {reclaimedAt: DURATION_MS / 2}),
	};
};
