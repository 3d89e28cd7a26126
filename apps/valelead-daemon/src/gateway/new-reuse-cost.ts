import type {AdmissionRequest, LaneCost} from '@valelead/admission';
import {getPreferredEngine, getReuseKey, getReuseValue} from '@valelead/residency';

type ReuseParts = {
	/** Returns the memory of an engine of the service that an upstream belongs to, in tokens; 0 if it is no engine. */
	readonly getCacheTokens: (upstreamId: string) => number;
	/** Returns how many times as long as the median the engines of an upstream's service take, by upstream, without those that take as long. */
	readonly getFactors: (upstreamId: string) => ReadonlyMap<string, number>;
	/** Called once for each choice with a preferred engine. */
	readonly onPreferred: (request: AdmissionRequest) => void;
};

const getNoCost = (): number => 0;

/**
 * Creates the cost of engines that have not read the shared parts of a request's prompt: 0 for the engine that the request prefers, and for all if it
 * prefers none.
 */
export const newReuseCost = ({getCacheTokens, getFactors, onPreferred}: ReuseParts): LaneCost => (request, loads) => {
	const segments = request.prompt?.sharedSegments ?? [];
	if (loads.size < 2 || segments.length === 0) {
		return getNoCost;
	}

	const [first] = loads.keys();
	const value = getReuseValue(segments, getCacheTokens(first.vm));
	if (value === 0) {
		return getNoCost;
	}

	const factors = getFactors(first.vm);
	const weighted = new Map<string, number>();
	for (const [{vm}, inProgress] of loads) {
		weighted.set(vm, inProgress * (factors.get(vm) ?? 1));
	}

	onPreferred(request);
	const preferred = getPreferredEngine(getReuseKey(request.target, segments), weighted, value);
	return ({vm}) => preferred === undefined || preferred === vm ? 0 : value;
};
