import {getClassWeight} from '@valelead/residency';
import {getAdmissionTarget} from './get-admission-target.js';
import type {Demand} from './demand.js';
import type {GatewayRequest} from './gateway-request.js';

/** Derives the demand for a unit from a waiting request. The caller of a stream that broke has been waiting since its last event. */
export const newDemand = ({service, target, origin, head, lastChunkAt, deadlineAt, route}: GatewayRequest): Demand => ({
	service,
	target: getAdmissionTarget({target, origin}),
	origin,
	model: head.model,
	adapter: head.adapter,
	weight: getClassWeight(route.priority),
	dueAt: lastChunkAt + route.objectiveMs,
	leavesAt: Math.min(deadlineAt, lastChunkAt + route.callerPatienceMs),
	deadlineAt,
	patienceMs: route.callerPatienceMs,
});
