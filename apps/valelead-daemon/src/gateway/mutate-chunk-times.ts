import type {GatewayRequest} from './gateway-request.js';

/** Notes when a part of the answer came, and the longest pause between two of them. */
export const mutateChunkTimes = (request: GatewayRequest, now: number): void => {
	if (request.firstChunkAt === undefined) {
		request.firstChunkAt = now;
	} else {
		request.longestPauseMs = Math.max(request.longestPauseMs, now - request.lastChunkAt);
	}

	request.lastChunkAt = now;
};
