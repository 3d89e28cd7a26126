import type {Clock, TimerService} from '@valelead/common';
import type {Logger} from 'pino';
import type {EnginePort} from './engine-port.js';
import type {PollIntervals} from './poll-intervals.js';

/** What a keeper of an engine works with. */
export type EngineManagerOptions = {
	readonly holder: string;
	/** Engines that fetch from the weight store at once, over the installation, while they are idle. */
	readonly concurrentStoreLoads: number;
	readonly client: EnginePort;
	readonly timers: TimerService;
	readonly clock: Clock;
	readonly logger: Logger;
	/** The fencing number of the orders. */
	readonly fence: number;
	readonly polls: PollIntervals;
	/** Until when orders may be given, in monotonic milliseconds; for ever where nobody else may. */
	readonly getOrdersEnd?: () => number;
};
