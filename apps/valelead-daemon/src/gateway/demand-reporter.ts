import {type Clock, type TimerService, Coalescer} from '@valelead/common';
import {ExpectedReturns} from './expected-returns.js';
import {isHopeless} from './is-hopeless.js';
import {newDemand} from './new-demand.js';
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
	/** Refuses a waiting request whose unit is loaded only when its caller has left; false where it may be served all the same. */
	readonly giveUp: (request: GatewayRequest, forecastMs: number, getSourceCount: () => number) => boolean;
};

/** How long changes of demand wait for others to be told with them, in milliseconds. */
const COALESCE_MS = 8;

/** Demand is told again at least this often while anything waits, in milliseconds, as chosen engines may fall away. */
const REFRESH_MS = 250;

/** Tells sidecars what this gateway needs of their engines, when that changes. */
export class DemandReporter {
	readonly #parts: ReporterParts;
	readonly #tellings: Coalescer;
	readonly #returns = new ExpectedReturns();
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
			clock, planner, residency, isWaiting, giveUp,
		} = this.#parts;
		const now = clock.now();
		this.#toldAt = now;
		const requests = [...this.#parts.getRequests()].filter(request => request.head.model !== '');
		const inProgress = requests.filter(request => !isWaiting(request));
		const waiting = requests.filter(request => isWaiting(request)).map(request => ({request, demand: newDemand(request)}));
		residency.setNeeds(planner.getNeeds([...waiting.map(({demand}) => demand), ...this.#returns.getDemands(now)], inProgress, now));
		for (const {request, demand} of waiting) {
			request.awaitedUpstreamId = planner.getChosenUpstreamId(request.target) ?? '';
			const forecastMs = planner.getForecastMs(demand);
			if (forecastMs !== undefined && isHopeless(demand, forecastMs, now) && giveUp(request, forecastMs, () => planner.getSourceCount(demand))) {
				this.#returns.add(demand, now + forecastMs);
			}
		}
	}
}
