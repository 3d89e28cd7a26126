import {type Clock, type TimerService, Coalescer} from '@valelead/common';
import {isHopeless} from './is-hopeless.js';
import type {LoadPlanner} from './load-planner.js';
import type {EngineLinks} from './engine-links.js';
import type {GatewayRequest} from './gateway-request.js';

type ReporterParts = {
	readonly clock: Clock;
	readonly timers: TimerService;
	readonly planner: LoadPlanner;
	readonly residency: EngineLinks;
	readonly getRequests: () => Iterable<GatewayRequest>;
	readonly isWaiting: (request: GatewayRequest) => boolean;
	/** Takes a waiting request that is expected to be served only when its caller has left. */
	readonly onHopeless: (request: GatewayRequest, forecastMs: number) => void;
};

/** How long changes of demand wait for others to be told with them, in milliseconds. */
const COALESCE_MS = 8;

/** Demand is told again at least this often while anything waits, in milliseconds, as chosen engines may fall away. */
const REFRESH_MS = 250;

/** Tells sidecars what this gateway needs of their engines, when that changes. */
export class DemandReporter {
	readonly #parts: ReporterParts;
	readonly #tellings: Coalescer;
	#toldAt = 0;

	constructor(parts: ReporterParts) {
		this.#parts = parts;
		this.#tellings = new Coalescer(parts.timers, COALESCE_MS, () => {
			this.#tell();
		});
	}

	tellSoon(): void {
		this.#tellings.schedule();
	}

	/** Tells again what has been told long ago; called while anything waits. */
	refresh(now: number): void {
		if (now - this.#toldAt > REFRESH_MS) {
			this.tellSoon();
		}
	}

	#tell(): void {
		const {
			clock, planner, residency, isWaiting, onHopeless,
		} = this.#parts;
		const now = clock.now();
		this.#toldAt = now;
		const requests = [...this.#parts.getRequests()].filter(request => request.head.model !== '');
		const waiting = requests.filter(request => isWaiting(request));
		const inProgress = requests.filter(request => !isWaiting(request));
		residency.setNeeds(planner.getNeeds(waiting, inProgress, now));
		for (const request of waiting) {
			const forecastMs = planner.getForecastMs(request.target);
			if (forecastMs !== undefined && isHopeless(request, forecastMs, now)) {
				onHopeless(request, forecastMs);
			}
		}
	}
}
