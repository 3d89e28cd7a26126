import type {SuspectPhaseValue} from './suspect-phase-value.js';
import type {SuspectSegments} from './suspect-segments.js';

/** A request that was in progress at an upstream when the upstream crashed. */
export type Suspect = {
	readonly fingerprint: string;
	readonly phase: SuspectPhaseValue;
	/** Undefined if the request shares no segment of its prompt. */
	readonly segments?: SuspectSegments;
};
