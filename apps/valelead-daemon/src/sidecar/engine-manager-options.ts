import type {Clock, TimerService} from '@valelead/common';
import type {Logger} from 'pino';
import type {EnginePort} from './engine-port.js';
import type {PollIntervals} from './poll-intervals.js';

/** Options and dependencies of an engine manager. */
export type EngineManagerOptions = {
	readonly holder: string;
	/** The maximum number of idle engines in the installation that fetch from the weight store at the same time. */
	readonly concurrentStoreLoads: number;
	readonly client: EnginePort;
	readonly timers: TimerService;
	readonly clock: Clock;
	readonly logger: Logger;
	/** The fencing token of the orders. */
	readonly fence: number;
	readonly pollIntervals: PollIntervals;
	/** Returns the time after which no order may be sent, in monotonic milliseconds. Absent if no other process may send orders to the engine. */
	readonly getOrdersEnd?: () => number;
};
