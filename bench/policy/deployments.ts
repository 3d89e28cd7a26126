import type {Deployment} from './deployment.js';

const STORE = {loadsPerSecond: 3, concurrentLoads: 4, assumedLoadMsPerGib: 1000};

/**
 * The brief's sizes. Ferroandina weighs idle accelerators more and its patient drafting class counts at a higher
 * weight; Kostyum weighs cold starts more.
 */
export const DEPLOYMENTS: readonly Deployment[] = [
	{
		name: 'ferroandina',
		engines: 6,
		models: 50,
		memoryGib: 48,
		capacity: 8,
		classes: {lookup: {weight: 2, deadlineMs: 30_000}, drafting: {weight: 3, deadlineMs: 120_000}},
		policy: {...STORE, coldStartWeight: 1, idleWeight: 0.5},
	},
	{
		name: 'kostyum',
		engines: 6,
		models: 50,
		memoryGib: 48,
		capacity: 8,
		classes: {advice: {weight: 3, deadlineMs: 30_000}, holiday: {weight: 6, deadlineMs: 60_000}, condense: {weight: 1, deadlineMs: 120_000}},
		policy: {...STORE, coldStartWeight: 1, idleWeight: 0.1},
	},
];
