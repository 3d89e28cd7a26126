import type {Demand} from './demand.js';

/** Whether a unit that is loaded in `forecastMs` milliseconds comes too late for a request. */
export const isHopeless = ({leavesAt}: Demand, forecastMs: number, now: number): boolean => now + forecastMs > leavesAt;
