import {getLoadValue} from './get-load-value.js';
import type {Wait} from './wait.js';

/**
 * How much what a load's requests lose by one more load before it counts, relative to what they gain by it. At 8, a request of the lowest of three
 * ranks, which weighs a sixteenth, goes before three late requests of the highest rank, which lose nothing more, when it would become late itself.
 */
const LOSS_WEIGHT = 8;

/**
 * The factor by which the value of a load grows because its requests would be late, or their callers gone, after one more load; 1 if they can wait
 * for that load without a loss, or if they are late already.
 * @param delayMs - The duration of the load that would go before it, in milliseconds.
 */
export const getUrgencyFactor = (waits: readonly Wait[], loadMs: number, delayMs: number): number => {
	const value = getLoadValue(waits, loadMs);
	return value === 0 ? 1 : 1 + (LOSS_WEIGHT * (value - getLoadValue(waits, loadMs + delayMs)) / value);
};
