import {type Wait, getClassWeight} from '@valelead/residency';
import type {GatewayRequest} from './gateway-request.js';

/** What a request that waits for its unit tells of its times and its weight. */
export const newWait = ({arrivedAt, deadlineAt, route}: GatewayRequest, now: number): Wait => ({
	count: 1,
	weight: getClassWeight(route.priority),
	dueInMs: Math.round(arrivedAt + route.objectiveMs - now),
	leavesInMs: Math.round(Math.min(deadlineAt, arrivedAt + route.patienceMs) - now),
});
