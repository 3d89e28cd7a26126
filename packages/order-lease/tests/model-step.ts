import * as fc from 'fast-check';

/** The names of the simulated VMs. */
export const MODEL_VMS = ['g1', 'g2', 'g3'];

/** The events of one simulated period. */
export const MODEL_STEP = fc.record({
	/** VMs whose reports to the leader are lost. */
	silent: fc.subarray(MODEL_VMS),
	/** VMs that do not receive the leader's replies. */
	unreachable: fc.subarray(MODEL_VMS),
	/** VMs that report that they are stopping. */
	stopping: fc.subarray(MODEL_VMS),
	restarted: fc.option(fc.constantFrom(...MODEL_VMS), {freq: 12, nil: undefined}),
	isLeaderNew: fc.nat(3).map(number => number === 0),
	/** True if the sidecar of the first engine starts in this period, unless it is already running. */
	isSidecarStarted: fc.nat(24).map(number => number === 0),
	/** The number of rounds in the period. */
	rounds: fc.integer({min: 1, max: 12}),
});
