import type {UnitNeed} from './unit-need.js';

type Candidate = {
	readonly model: string;
	readonly weight: number;
	readonly dueInMs: number;
};

/**
 * A load that can no longer make the objective of a request counts for less, but not for longer than this, in
 * milliseconds. Its callers may give up sooner than that, so the time is the model's and not that of one request.
 */
const LATE_PATIENCE_MS = 2500;

/** What a late answer counts against one in time: about the part that the users' sheets state for late answers. */
const LATE_SHARE = 0.25;

const compare = (left: Candidate, right: Candidate): number => (right.weight - left.weight) || (left.dueInMs - right.dueInMs);

type QueueTerms = {
	readonly held: ReadonlySet<string>;
	readonly needs: readonly UnitNeed[];
	/** The expected load time of a model on the engine, in milliseconds. */
	readonly getLoadMs: (model: string) => number;
	/** For how long requests have waited for a model, in milliseconds. */
	readonly getWantedMs: (model: string) => number;
};

/**
 * Models that requests wait for and that the engine does not hold, in the order in which they are loaded: first those
 * for which most waits, by number and class, then the most urgent. What can no longer be in time counts for less.
 */
export const getLoadQueue = ({held, needs, getLoadMs, getWantedMs}: QueueTerms): string[] => {
	const wanted = new Map<string, {readonly weight: number; readonly dueInMs: number}>();
	for (const {model, waiting, dueInMs, weight} of needs) {
		if (waiting > 0 && !held.has(model)) {
			const known = wanted.get(model);
			wanted.set(model, {weight: weight + (known?.weight ?? 0), dueInMs: Math.min(dueInMs, known?.dueInMs ?? dueInMs)});
		}
	}

	return [...wanted]
		.map(([model, {weight, dueInMs}]) => {
			const isLate = getLoadMs(model) > dueInMs && getWantedMs(model) < LATE_PATIENCE_MS;
			return {model, weight: isLate ? weight * LATE_SHARE : weight, dueInMs};
		})
		.sort(compare)
		.map(candidate => candidate.model);
};
