import type {GatewayRequest} from './gateway-request.js';

/** Records the arrival time of a response chunk and updates the longest pause between two chunks. Times are monotonic milliseconds. */
export const mutateChunkTimes = (request: GatewayRequest, now: number): void => {
	if (request.firstChunkAt === undefined) {
		request.firstChunkAt = now;
	} else {
		request.longestPauseMs = Math.max(request.longestPauseMs, now - request.lastChunkAt);
	}

	request.lastChunkAt = now;
};
