import {type Clock, type TimerService, Coalescer} from '@valelead/common';
import {getExpectedReturn} from '@valelead/residency';
import {ExpectedRetries} from './expected-retries.js';
import {isLoadTooLate} from './is-load-too-late.js';
import {newDemand} from './new-demand.js';
import type {Demand} from './demand.js';
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
	/** Refuses a waiting request whose unit would be loaded too late; returns false if the request may still be served and stays in the queue. */
	readonly giveUp: (request: GatewayRequest, forecast: {readonly forecastMs: number; readonly retryAfterMs: number}, getSourceCount: () => number) => boolean;
	/** The setting `scheduling.loadForecast`; false if absent. */
	readonly isLoadForecast?: boolean;
};

/** Time for which changes of demand are collected before they are reported together, in milliseconds. */
const COALESCE_MS = 8;

/** Demand is reported again after this time while requests wait, in milliseconds, as a chosen engine may have become unavailable. */
const REFRESH_MS = 250;

/**
 * Reports the units that this gateway needs to the managers of the engines chosen to load them, and refuses requests whose unit would be loaded too
 * late.
 */
export class DemandReporter {
	readonly #parts: ReporterParts;
	readonly #reports: Coalescer;
	readonly #retries = new ExpectedRetries();
	#reportedAt = 0;

	constructor(parts: ReporterParts) {
		this.#parts = parts;
		this.#reports = new Coalescer(parts.timers, COALESCE_MS, () => {
			this.#report();
		});
	}

	scheduleReport(): void {
		this.#reports.schedule();
	}

	/** Schedules a report if the last one is older than `REFRESH_MS`; called while requests wait. */
	refresh(now: number): void {
		if (now - this.#reportedAt > REFRESH_MS) {
			this.scheduleReport();
		}
	}

	#report(): void {
		const {
			clock, planner, residency, isWaiting,
		} = this.#parts;
		const now = clock.now();
		this.#reportedAt = now;
		const requests = [...this.#parts.getRequests()].filter(request => request.head.model !== '');
		const inProgress = requests.filter(request => !isWaiting(request));
		const waiting = requests.filter(request => isWaiting(request)).map(request => ({request, demand: newDemand(request)}));
		const needs = planner.getNeeds([...waiting.map(({demand}) => demand), ...this.#retries.getDemands(now)], inProgress, now);
		residency.setNeeds(needs, planner.storeReport);
		for (const {request, demand} of waiting) {
			request.awaitedUpstreamId = planner.getChosenUpstreamId(demand.target) ?? '';
			const forecastMs = planner.getForecastMs(demand);
			if (forecastMs !== undefined && isLoadTooLate(demand, forecastMs, now)) {
				this.#giveUp(request, demand, forecastMs, now);
			}
		}
	}

	#giveUp(request: GatewayRequest, demand: Demand, forecastMs: number, now: number): void {
		const {planner, giveUp, isLoadForecast} = this.#parts;
		const getSourceCount = (): number => planner.getSourceCount(demand);
		if (!isLoadForecast) {
			if (giveUp(request, {forecastMs, retryAfterMs: forecastMs}, getSourceCount)) {
				this.#retries.add(demand, now + forecastMs);
			}

			return;
		}

		const expected = getExpectedReturn({forecastMs, deadlineInMs: demand.deadlineAt - now, patienceMs: demand.patienceMs});
		if (giveUp(request, {forecastMs, retryAfterMs: expected.retryAfterMs}, getSourceCount)) {
			this.#retries.addReturn(demand, expected, now);
		}
	}
}
