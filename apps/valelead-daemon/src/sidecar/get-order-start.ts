import type {OrderLeaseUpdate} from '../follower/order-lease-update.js';

/**
 * Returns the time from which a sidecar may send orders to its engine, in monotonic milliseconds. An earlier result still counts, as a new
 * leader may know less than the one before it. Only a sidecar that has not yet begun waits until the leader knows the previous lease holders:
 * otherwise each new leader would stop the orders to all engines.
 * @param before - The previous result; undefined before the first message of a leader.
 */
export const getOrderStart = (before: number | undefined, {ordersFromMs, holdersKnownInMs}: Pick<OrderLeaseUpdate, 'ordersFromMs' | 'holdersKnownInMs'>, now: number): number => {
	const isBegun = before !== undefined && before <= now;
	const delayMs = isBegun ? ordersFromMs : Math.max(ordersFromMs, holdersKnownInMs);
	return delayMs > 0 || before === undefined ? Math.max(before ?? now, now + delayMs) : before;
};
