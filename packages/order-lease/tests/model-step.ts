import * as fc from 'fast-check';

/** The processes and engines of the model. */
export const MODEL_VMS = ['g1', 'g2', 'g3'];

/** What happens for a while. */
export const MODEL_STEP = fc.record({
	/** Processes whose reports are lost. */
	silent: fc.subarray(MODEL_VMS),
	/** Processes that get no replies. */
	unreachable: fc.subarray(MODEL_VMS),
	/** Processes that tell that they stop. */
	stopping: fc.subarray(MODEL_VMS),
	restarted: fc.option(fc.constantFrom(...MODEL_VMS), {freq: 12, nil: undefined}),
	isLeaderNew: fc.nat(3).map(number => number === 0),
	/** Whether the sidecar of the first engine starts, where it does not run yet. */
	isSidecarStarted: fc.nat(24).map(number => number === 0),
	/** How many turns it lasts. */
	rounds: fc.integer({min: 1, max: 12}),
});
