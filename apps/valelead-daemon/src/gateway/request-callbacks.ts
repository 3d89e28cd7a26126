import type {GatewayRequest} from './gateway-request.js';
import type {SentAttempt} from './sent-attempt.js';
import type {WaitEffect} from './wait-effect.js';

/** Called by a gateway's dispatcher to report what it does with requests. */
export type RequestCallbacks = {
	/** Called for each request that is first dispatched, or refused because it waited, with the caller's id of the request. Only with `latestStart` on. */
	readonly onWaited?: (effect: WaitEffect, requestId: string | undefined) => void;
	/** Called for each attempt that is cancelled before its response is complete. */
	readonly onCancelled: (attempt: SentAttempt) => void;
	/** Called for each request that is aborted because the gateway stops. */
	readonly onAborted: (request: GatewayRequest) => void;
	/** Called for each retry that is due, with true if the retry budget of the service allows it. */
	readonly onRetry: (service: string, isAllowed: boolean) => void;
};
