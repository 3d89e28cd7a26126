import {getClassWeight} from '@valelead/residency';
import type {Demand} from './demand.js';
import type {GatewayRequest} from './gateway-request.js';

/** Derives the demand for a unit from a waiting request. */
export const newDemand = ({service, target, head, arrivedAt, deadlineAt, route}: GatewayRequest): Demand => ({
	service,
	target,
	model: head.model,
	adapter: head.adapter,
	weight: getClassWeight(route.priority),
	dueAt: arrivedAt + route.objectiveMs,
	leavesAt: Math.min(deadlineAt, arrivedAt + route.callerPatienceMs),
});
