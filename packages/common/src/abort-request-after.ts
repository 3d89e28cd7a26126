import type {ClientRequest} from 'node:http';
import {abortRequest} from './abort-request.js';
import type {TimerService} from './timer-service.js';

/** Aborts a request unless it has ended, with its whole response, within `delayMs` milliseconds. */
export const abortRequestAfter = (request: ClientRequest, timers: TimerService, delayMs: number): void => {
	const timer = timers.after(delayMs, () => {
		abortRequest(request);
	});
	request.once('close', () => {
		timer.cancel();
	});
};
