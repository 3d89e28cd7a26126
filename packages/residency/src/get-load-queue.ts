import type {UnitNeed} from './unit-need.js';

type Candidate = {
	readonly model: string;
	readonly dueInMs: number;
	readonly loadMs: number;
};

/** A load that can no longer make its objective lets the others go first, but not for longer than this, in milliseconds. */
const LATE_PATIENCE_MS = 6000;

const isHopeless = ({dueInMs, loadMs}: Candidate): boolean => loadMs > dueInMs && dueInMs > -LATE_PATIENCE_MS;

const compare = (left: Candidate, right: Candidate): number => (Number(isHopeless(left)) - Number(isHopeless(right))) || (left.dueInMs - right.dueInMs);

/**
 * Models that requests wait for and that the engine does not hold, in the order in which they are loaded: first those
 * that can still make the objective of a request, the most urgent before the others.
 * @param getLoadMs - The expected load time of a model on the engine, in milliseconds.
 */
export const getLoadQueue = (held: ReadonlySet<string>, needs: readonly UnitNeed[], getLoadMs: (model: string) => number): string[] => {
	const candidates = new Map<string, Candidate>();
	for (const {model, waiting, dueInMs} of needs) {
		if (waiting === 0 || held.has(model)) {
			continue;
		}

		const known = candidates.get(model);
		candidates.set(model, {model, dueInMs: Math.min(dueInMs, known?.dueInMs ?? Number.POSITIVE_INFINITY), loadMs: getLoadMs(model)});
	}

	return [...candidates.values()].sort(compare).map(candidate => candidate.model);
};
