import type {AdmissionEndpoint, AdmissionRequest, LaneLoads} from '@valelead/admission';
import {getPreferredEngine, getReuseKey, getReuseValue} from '@valelead/residency';

type ReuseParts = {
	/** Returns the memory of an engine of the service that an upstream belongs to, in tokens; 0 if it is no engine. */
	readonly getCacheTokens: (upstreamId: string) => number;
	/** Returns how many times as long as the median the engines of an upstream's service take, by upstream, without those that take as long. */
	readonly getFactors: (upstreamId: string) => ReadonlyMap<string, number>;
	/** Called once for each choice with a preferred engine. */
	readonly onPreferred: (request: AdmissionRequest) => void;
};

type Preference = {
	/** The id of the preferred engine; undefined if none is preferred. */
	readonly upstreamId: string | undefined;
	/** What it is worth to choose it, in requests in progress. */
	readonly value: number;
};

const NONE: Preference = {upstreamId: undefined, value: 0};

/** The cost of engines that have not read the shared parts of a request's prompt. */
export class PromptReuse {
	readonly #parts: ReuseParts;
	/** The preferred engine of the last choice. All upstreams of a choice are compared one after the other, with the same map of loads. */
	#lastLoads: LaneLoads | undefined;
	#lastPreference = NONE;

	constructor(parts: ReuseParts) {
		this.#parts = parts;
	}

	/** Returns the cost of an upstream, in requests in progress: 0 for the preferred one, and for all if none is preferred. */
	getCost(request: AdmissionRequest, {vm}: AdmissionEndpoint, loads: LaneLoads | undefined): number {
		if (!loads || loads.size < 2 || !request.prompt || request.prompt.sharedSegments.length === 0) {
			return 0;
		}

		if (loads !== this.#lastLoads) {
			this.#lastLoads = loads;
			this.#lastPreference = this.#getPreference(request, loads, request.prompt.sharedSegments);
		}

		const {upstreamId, value} = this.#lastPreference;
		return upstreamId === undefined || upstreamId === vm ? 0 : value;
	}

	#getPreference(request: AdmissionRequest, loads: LaneLoads, segments: NonNullable<AdmissionRequest['prompt']>['sharedSegments']): Preference {
		const [first] = loads.keys();
		const value = getReuseValue(segments, this.#parts.getCacheTokens(first.vm));
		if (value === 0) {
			return NONE;
		}

		const factors = this.#parts.getFactors(first.vm);
		const weighted = new Map<string, number>();
		for (const [{vm}, inProgress] of loads) {
			weighted.set(vm, inProgress * (factors.get(vm) ?? 1));
		}

		this.#parts.onPreferred(request);
		return {upstreamId: getPreferredEngine(getReuseKey(request.target, segments), weighted, value), value};
	}
}
