import type {SuspectPhaseValue} from './suspect-phase-value.js';

/** A request that was in progress at an upstream when the upstream crashed. */
export type Suspect = {
	readonly fingerprint: string;
	readonly phase: SuspectPhaseValue;
};
