import {DEPARTURE_RETENTION_MS} from './departure-retention-ms.js';
import {UPSTREAM_STATE} from './upstream-state.js';
import type {Upstream} from './upstream.js';
import type {Withdrawals} from './withdrawals.js';

/** A withdrawal is recorded again at this age, in milliseconds, so that a run that drains for long is not forgotten. */
const REFRESH_MS = DEPARTURE_RETENTION_MS / 2;

/** Returns true if the declared state of a run is recorded and need not be recorded again yet. */
export const isWithdrawalRecorded = (withdrawals: Withdrawals, {id, state}: Upstream, wallNow: number): boolean => {
	const known = withdrawals.get(id);
	const isDeclared = known !== undefined && (known.upstream.state === state || known.upstream.state === UPSTREAM_STATE.Gone);
	return isDeclared && wallNow - known.at < REFRESH_MS;
};
