import type {AdmissionLane} from './admission-lane.js';
import type {AdmissionSettings} from './admission-settings.js';

type LaneFailure = {
	/** Uniform in [0, 1); the middle where none was drawn. */
	readonly jitter?: number;
	/** No connection could be made; one such failure is enough. */
	readonly isUnreachable: boolean;
};

/** The spread of an ejection around its base, either way. */
const JITTER_SHARE = 0.2;

/**
 * Leaves an upstream out after failures in a row, for a time that doubles with a bounded jitter
 * (the jitter of ±20% follows "Resilience: Circuit Breakers and Retry Backoff", ComputeFlux series, article 9).
 */
export const mutateLaneFailure = (lane: AdmissionLane, settings: AdmissionSettings, {jitter = 0.5, isUnreachable}: LaneFailure, now: number): void => {
	lane.failures += 1;
	if (!isUnreachable && lane.failures < settings.ejectAfter && lane.ejections === 0) {
		return;
	}

	const baseMs = Math.min(settings.maxEjectMs, settings.ejectMs * (2 ** lane.ejections));
	lane.ejectedUntil = now + (baseMs * (1 - JITTER_SHARE + (2 * JITTER_SHARE * jitter)));
	lane.ejections += 1;
	lane.failures = 0;
};
