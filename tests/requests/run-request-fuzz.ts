import {runFuzz} from '../support/run-fuzz.js';
import type {FuzzOptions} from '../support/fuzz-options.js';
import type {FuzzResult} from '../support/fuzz-result.js';
import {FakeTraffic} from './fake-traffic.js';
import {REQUEST_COMMANDS} from './request-commands.js';
import type {RequestMutation} from './request-mutation.js';

/** Fuzzes admission, dispatch, credits and claims. */
export const runRequestFuzz = (options: FuzzOptions<RequestMutation>): FuzzResult => runFuzz({
	commands: REQUEST_COMMANDS,
	newReal(seed, mutation: RequestMutation) {
		const traffic = new FakeTraffic(seed, mutation);
		traffic.advance(500);
		return traffic;
	},
}, options);
