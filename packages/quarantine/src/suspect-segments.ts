import type {SuspectPhaseValue} from './suspect-phase-value.js';

/** The segments of a suspect's prompt that other prompts may share. */
export type SuspectSegments = {
	readonly fingerprints: readonly string[];
	/** Those with which an upstream recently ran another prompt of the same gateway. */
	readonly provenBefore: readonly string[];
	/**
	 * Phase of the request as evidence for its segments. It is `SUSPECT_PHASE.Running` only once a second part of the response body has arrived, as an
	 * upstream may crash while it sends the first.
	 */
	readonly phase: SuspectPhaseValue;
};
