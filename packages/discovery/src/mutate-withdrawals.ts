import {DEPARTURE_RETENTION_MS} from './departure-retention-ms.js';
import {UPSTREAM_STATE} from './upstream-state.js';
import type {Withdrawal} from './withdrawal.js';
import type {Withdrawals} from './withdrawals.js';

/**
 * Records a withdrawal, and removes those that no delayed announcement can contradict any more. A run that has departed does not return to draining.
 * Depends on nothing but its arguments, so that all voters get the same result.
 */
export const mutateWithdrawals = (withdrawals: Withdrawals, withdrawal: Withdrawal): void => {
	for (const [id, {at}] of withdrawals) {
		if (withdrawal.at - at > DEPARTURE_RETENTION_MS) {
			withdrawals.delete(id);
		}
	}

	const {upstream, at} = withdrawal;
	const known = withdrawals.get(upstream.id)?.upstream;
	withdrawals.delete(upstream.id);
	withdrawals.set(upstream.id, {upstream: known?.state === UPSTREAM_STATE.Gone ? known : upstream, at});
};
