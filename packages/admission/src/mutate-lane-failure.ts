import type {AdmissionLane} from './admission-lane.js';
import type {AdmissionSettings} from './admission-settings.js';

type LaneFailure = {
	/** A random number, uniformly distributed in [0, 1); 0.5 if absent, which leaves the ejection time unchanged. */
	readonly jitter?: number;
	/** True if the upstream cannot be reached; it is ejected after a single such failure. */
	readonly isUnreachable: boolean;
	/** True if the upstream rejected the request before running it, so that it can be reached and lacks a place at most. */
	readonly isRejected?: boolean;
};

/** The maximum deviation of an ejection time from its base, as a fraction of the base. */
const JITTER_SHARE = 0.2;

/**
 * Records a failure of an upstream and ejects the upstream after consecutive failures, or after a single one if it cannot be reached or was
 * ejected since its last success. The ejection time doubles with each ejection and has a jitter of ±20%
 * (as in "Resilience: Circuit Breakers and Retry Backoff", ComputeFlux series, article 9). It does not grow with rejections: a place may be free at any time,
 * and a request that is rejected again has not run.
 */
export const mutateLaneFailure = (lane: AdmissionLane, settings: AdmissionSettings, {jitter = 0.5, isUnreachable, isRejected = false}: LaneFailure, now: number): void => {
	lane.failures += 1;
	if (!isUnreachable && lane.failures < settings.failuresBeforeEjection && lane.ejections === 0) {
		return;
	}

	const doublings = isRejected ? 0 : lane.ejections;
	const baseMs = Math.min(settings.maxEjectionMs, settings.baseEjectionMs * (2 ** doublings));
	lane.ejectedUntil = now + (baseMs * (1 - JITTER_SHARE + (2 * JITTER_SHARE * jitter)));
	lane.ejections = isRejected ? Math.max(1, lane.ejections) : lane.ejections + 1;
	lane.failures = 0;
};
