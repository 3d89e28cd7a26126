import type {ExpectedReturn} from './expected-return.js';

/** The share of the time left to its deadline up to which a caller respects a Retry-After time, as the users' requirements state. */
const RESPECTED_SHARE = 1 / 3;

type RefusedRequest = {
	/** Time until the model is forecast to be loaded, in milliseconds. */
	readonly forecastMs: number;
	/** Time until the request's deadline, in milliseconds. */
	readonly deadlineInMs: number;
	/** Time that the caller waits for the first event before it leaves, in milliseconds. */
	readonly patienceMs: number;
};

/**
 * What to tell a caller whose model is loaded only after it has left. If it still waits for the load after its return, it is told the time at which
 * it comes back, which is before the end of a long load. Otherwise it is told the end of the load, as an earlier return would be in vain.
 */
export const getExpectedReturn = ({forecastMs, deadlineInMs, patienceMs}: RefusedRequest): ExpectedReturn => {
	const returnsInMs = Math.max(0, Math.min(forecastMs, deadlineInMs * RESPECTED_SHARE));
	const leavesInMs = Math.min(deadlineInMs, returnsInMs + patienceMs);
	const isInTime = forecastMs <= leavesInMs;
	return {
		retryAfterMs: isInTime ? returnsInMs : forecastMs, returnsInMs, leavesInMs, isInTime,
	};
};
