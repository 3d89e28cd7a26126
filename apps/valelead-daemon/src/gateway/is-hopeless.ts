import type {GatewayRequest} from './gateway-request.js';

/**
 * A request is given up when its model is expected to be loaded later than this part of the time until its caller leaves.
 */
const HOPELESS_SHARE = 1;

/** Whether a waiting request is expected to be served only when its caller has left. */
export const isHopeless = ({arrivedAt, deadlineAt, route}: GatewayRequest, forecastMs: number, now: number): boolean => {
	const leavesAt = Math.min(deadlineAt, arrivedAt + route.patienceMs);
	return now + forecastMs > arrivedAt + ((leavesAt - arrivedAt) * HOPELESS_SHARE);
};
