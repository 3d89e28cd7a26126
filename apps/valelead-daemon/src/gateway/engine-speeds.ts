import type {Clock} from '@valelead/common';
import type {Upstream} from '@valelead/discovery';
import type {EngineReport, SpeedSamples} from '@valelead/protocol';
import {EQUAL_SPEED_RATIO, getSpeedFactors, isSpeedChanged} from '@valelead/residency';

type ReportedGap = {
	readonly upstreamId: string;
	readonly eventGapMs: number;
	readonly reportedAt: number;
};

type ServiceFactors = {
	readonly factors: ReadonlyMap<string, number>;
	readonly computedAt: number;
};

/** A speed that was not reported again for this time no longer counts, in milliseconds: an engine with traffic is reported at least each second. */
const MAX_REPORT_AGE_MS = 3000;

/** Factors are computed again after this time even without a new report, in milliseconds, as reports grow old. */
const MAX_FACTORS_AGE_MS = 250;

/** Fewer samples than this are ignored: single gaps vary by more than any slow-down. */
const MIN_DEVIATING_GAPS = 2;

const NO_FACTORS: ReadonlyMap<string, number> = new Map();

/** The speeds of engines as their managers report them, and how they compare within each service. */
export class EngineSpeeds {
	readonly #clock: Clock;
	readonly #gaps = new Map<string, ReportedGap>();
	readonly #engines = new Map<string, Upstream[]>();
	#services = new Map<string, string>();
	readonly #factors = new Map<string, ServiceFactors>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Number of engines that count as slower than the median of their service. */
	get slowCount(): number {
		const all = [...this.#engines.keys()].flatMap(service => [...this.#getFactors(service).values()]);
		return all.filter(factor => factor > 1).length;
	}

	setUpstreams(upstreams: readonly Upstream[]): void {
		this.#engines.clear();
		for (const upstream of upstreams) {
			this.#engines.set(upstream.service, [...this.#engines.get(upstream.service) ?? [], upstream]);
		}

		this.#services = new Map(upstreams.map(({id, service}) => [id, service]));
		this.#factors.clear();
	}

	/** Sets the last report on the engine at an address; undefined once the connection to its manager is lost. */
	setReport(address: string, report: EngineReport | undefined): void {
		const before = this.#gaps.get(address)?.eventGapMs ?? 0;
		if (report) {
			this.#gaps.set(address, {upstreamId: report.upstreamId, eventGapMs: report.eventGapMs, reportedAt: this.#clock.now()});
		} else {
			this.#gaps.delete(address);
		}

		if (before !== (report?.eventGapMs ?? 0)) {
			this.#factors.clear();
		}
	}

	/** Returns the service of an upstream; undefined if the upstream is not known. */
	getService(upstreamId: string): string | undefined {
		return this.#services.get(upstreamId);
	}

	/**
	 * Returns how many times as long as the median the engines of an upstream's service take, by upstream. Engines as fast as the median, and engines whose
	 * speed is not known, are not in the map.
	 */
	getFactors(upstreamId: string): ReadonlyMap<string, number> {
		const service = this.getService(upstreamId);
		return service === undefined ? NO_FACTORS : this.#getFactors(service);
	}

	/** True if samples differ from the reported speed of their engine so much that its manager must know them soon. */
	isDeviating(address: string, {upstreamId, gapMs, gaps}: SpeedSamples): boolean {
		const known = this.#gaps.get(address);
		if (gaps < MIN_DEVIATING_GAPS || known?.upstreamId !== upstreamId || known.eventGapMs === 0) {
			return false;
		}

		return isSpeedChanged(known.eventGapMs, gapMs / gaps, EQUAL_SPEED_RATIO);
	}

	#getFactors(service: string): ReadonlyMap<string, number> {
		const now = this.#clock.now();
		const cached = this.#factors.get(service);
		if (cached && now - cached.computedAt < MAX_FACTORS_AGE_MS) {
			return cached.factors;
		}

		const engines = this.#engines.get(service) ?? [];
		const gaps = new Map(engines.map(({id, address}) => [id, this.#getGapMs(id, address, now)]));
		const factors = getSpeedFactors(gaps);
		this.#factors.set(service, {factors, computedAt: now});
		return factors;
	}

	#getGapMs(id: string, address: string, now: number): number {
		const gap = this.#gaps.get(address);
		const isCurrent = gap?.upstreamId === id && now - gap.reportedAt <= MAX_REPORT_AGE_MS;
		return isCurrent ? gap.eventGapMs : 0;
	}
}
