import {SUSPECT_PHASE} from './suspect-phase.js';
import type {SuspectPhaseValue} from './suspect-phase-value.js';
import type {SuspectSegments} from './suspect-segments.js';
import type {Suspect} from './suspect.js';

/** Phases in order of precedence: of two copies of one request, the phase that stands later in this list counts. */
const PHASES_BY_PRECEDENCE: readonly string[] = [SUSPECT_PHASE.Unanswered, SUSPECT_PHASE.Begun, SUSPECT_PHASE.Running];

const isLater = (phase: SuspectPhaseValue, other: SuspectPhaseValue): boolean => PHASES_BY_PRECEDENCE.indexOf(phase) > PHASES_BY_PRECEDENCE.indexOf(other);

const getMergedSegments = (known: SuspectSegments | undefined, other: SuspectSegments | undefined): SuspectSegments | undefined => {
	if (!known || !other) {
		return known ?? other;
	}

	return isLater(other.phase, known.phase) ? other : known;
};

/**
 * Merges two copies of one request that were in progress at the same crash. The phase `SUSPECT_PHASE.Running` takes precedence because it shows
 * the request to be harmless: a request that crashes upstreams as it begins to run has no copy in this phase, and a request that many callers
 * send at the same time has one. Returns the known copy itself if the other one adds nothing.
 */
export const getMergedSuspect = (known: Suspect | undefined, other: Suspect): Suspect => {
	if (!known) {
		return other;
	}

	const segments = getMergedSegments(known.segments, other.segments);
	if (!isLater(other.phase, known.phase) && segments === known.segments) {
		return known;
	}

	return {fingerprint: known.fingerprint, phase: isLater(other.phase, known.phase) ? other.phase : known.phase, ...(segments && {segments})};
};
