import type {StreamOrigin} from '@valelead/stream-origin';
import type {GatewayRequest} from './gateway-request.js';

/** The fields of a request that change while it is processed. */
type Progress =
	| 'fingerprint'
	| 'segments'
	| 'dispatchedAt'
	| 'upstreamId'
	| 'softwareVersion'
	| 'awaitedUpstreamId'
	| 'attempts'
	| 'failedAttempts'
	| 'hasForwardedEvents'
	| 'lastEventId'
	| 'firstChunkAt'
	| 'lastChunkAt'
	| 'longestPauseMs'
	| 'answerFraming'
	| 'answerBytes';

/** Returns a request that has just arrived, with no progress. */
export const newGatewayRequest = (terms: Omit<GatewayRequest, Progress | 'origin'> & {readonly origin?: StreamOrigin | undefined}): GatewayRequest => ({
	...terms,
	origin: terms.origin,
	fingerprint: undefined,
	segments: undefined,
	dispatchedAt: undefined,
	upstreamId: '',
	softwareVersion: '',
	awaitedUpstreamId: '',
	attempts: 0,
	failedAttempts: [],
	hasForwardedEvents: false,
	lastEventId: undefined,
	firstChunkAt: undefined,
	lastChunkAt: terms.arrivedAt,
	longestPauseMs: 0,
	answerFraming: undefined,
	answerBytes: 0,
});
