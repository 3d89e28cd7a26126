import type {OrderLeaseUpdate} from '../follower/order-lease-update.js';

/**
 * From when on a sidecar may order its engine, in monotonic milliseconds. What it was told before counts too, as another leader may know less. Only one
 * that has not begun waits until the leader knows the holders before it: a new leader must not stop all engines' orders.
 * @param before - What was found last; undefined before the first word of a leader.
 */
export const getOrderStart = (before: number | undefined, {ordersFromMs, holdersKnownInMs}: Pick<OrderLeaseUpdate, 'ordersFromMs' | 'holdersKnownInMs'>, now: number): number => {
	const isBegun = before !== undefined && before <= now;
	const delayMs = isBegun ? ordersFromMs : Math.max(ordersFromMs, holdersKnownInMs);
	return delayMs > 0 || before === undefined ? Math.max(before ?? now, now + delayMs) : before;
};
