import type {GatewayRequest} from './gateway-request.js';

/** Notes when a part of the answer came, and the longest pause between two of them. */
export const mutatePart = (request: GatewayRequest, now: number): void => {
	if (request.firstPartAt === undefined) {
		request.firstPartAt = now;
	} else {
		request.longestPauseMs = Math.max(request.longestPauseMs, now - request.lastPartAt);
	}

	request.lastPartAt = now;
};
