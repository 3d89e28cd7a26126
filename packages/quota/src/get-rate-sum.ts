import type {Rate} from './rate.js';

/** Returns the sum of two rates and of their capacities. */
export const getRateSum = (left: Rate, right: Rate): Rate => ({perSecond: left.perSecond + right.perSecond, capacity: left.capacity + right.capacity});
