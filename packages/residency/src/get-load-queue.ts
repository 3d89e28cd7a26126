import type {UnitNeed} from './unit-need.js';

type Candidate = {
	readonly model: string;
	readonly rank: number;
	readonly dueInMs: number;
	/** Whether it lets the others go first. */
	readonly isPostponed: boolean;
};

/**
 * A load that can no longer make the objective of a request lets the others go first, but not for longer than this, in
 * milliseconds. Its callers may give up sooner than that, so the time is the model's and not that of one request.
 */
const LATE_PATIENCE_MS = 2500;

const compare = (left: Candidate, right: Candidate): number => (Number(left.isPostponed) - Number(right.isPostponed)) || (left.rank - right.rank) || (left.dueInMs - right.dueInMs);

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
 * that can still make the objective of a request or were postponed for long enough, by the rank of their classes and then
 * by urgency, as what a late answer costs rises with the rank.
 */
export const getLoadQueue = ({held, needs, getLoadMs, getWantedMs}: QueueTerms): string[] => {
	const wanted = new Map<string, {readonly rank: number; readonly dueInMs: number}>();
	for (const {model, waiting, dueInMs, rank} of needs) {
		if (waiting > 0 && !held.has(model)) {
			const known = wanted.get(model);
			wanted.set(model, {rank: Math.min(rank, known?.rank ?? rank), dueInMs: Math.min(dueInMs, known?.dueInMs ?? dueInMs)});
		}
	}

	return [...wanted]
		.map(([model, {rank, dueInMs}]) => ({
			model, rank, dueInMs, isPostponed: getLoadMs(model) > dueInMs && getWantedMs(model) < LATE_PATIENCE_MS,
		}))
		.sort(compare)
		.map(candidate => candidate.model);
};
