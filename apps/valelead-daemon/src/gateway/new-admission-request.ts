import type {AdmissionRequest} from '@valelead/admission';
import {isRepeatable, isResumableStream} from '@valelead/routing';
import {getAdmissionTarget} from './get-admission-target.js';
import type {GatewayRequest} from './gateway-request.js';

/**
 * Additional dispatches, beyond the attempts of the route, for requests that upstreams refuse before running them. They go to upstreams that the request
 * has reached: the attempts of the route also bound the upstreams that it may be sent to.
 */
const SPARE_ATTEMPTS = 2;

/** Returns the fields of a request on which the admission decides. */
export const newAdmissionRequest = ({id, head, caller, route, service, target, origin, arrivedAt, deadlineAt}: GatewayRequest): AdmissionRequest => ({
	requestId: id,
	team: caller.team?.name ?? '',
	teamWeight: 1,
	rank: caller.rank,
	className: route.name,
	classWeight: 1 / (1 + route.priority),
	target: getAdmissionTarget({target, origin}),
	arrivedAt,
	deadlineAt,
	dueAt: arrivedAt + route.objectiveMs,
	leavesAt: Math.min(deadlineAt, arrivedAt + route.callerPatienceMs),
	isRepeatable: isRepeatable(route),
	isResumable: isResumableStream(route),
	maxRuns: route.maxAttempts,
	maxAttempts: route.maxAttempts + SPARE_ATTEMPTS,
	maxUpstreams: route.maxAttempts,
	prompt: head.prompt,
	retryBudget: service,
});
