import type {GatewayRequest} from './gateway-request.js';

/** What becomes of a request, as opposed to what it is. */
type Progress = 'fingerprint' | 'dispatchedAt' | 'upstreamId' | 'awaitedUpstreamId' | 'attempts' | 'lastEventId' | 'firstPartAt' | 'lastPartAt' | 'longestPauseMs' | 'answerFraming' | 'answerBytes';

/** A request that has just arrived. */
export const newGatewayRequest = (terms: Omit<GatewayRequest, Progress>): GatewayRequest => ({
	...terms,
	fingerprint: undefined,
	dispatchedAt: undefined,
	upstreamId: '',
	awaitedUpstreamId: '',
	attempts: 0,
	lastEventId: undefined,
	firstChunkAt: undefined,
	lastChunkAt: terms.arrivedAt,
	longestPauseMs: 0,
	answerFraming: undefined,
	answerBytes: 0,
});
