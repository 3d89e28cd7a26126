import {SUSPECT_PHASE} from './suspect-phase.js';
import type {Suspect} from './suspect.js';

/** Phases in order of precedence: of two copies of one request, the phase that stands later in this list counts. */
const PHASES_BY_PRECEDENCE: readonly string[] = [SUSPECT_PHASE.Unanswered, SUSPECT_PHASE.Begun, SUSPECT_PHASE.Running];

/**
 * Merges two copies of one request that were in progress at the same crash. The phase `SUSPECT_PHASE.Running` takes precedence because it shows
 * the request to be harmless: a request that crashes upstreams as it begins to run has no copy in this phase, and a request that many callers
 * send at the same time has one.
 */
export const getMergedSuspect = (known: Suspect | undefined, other: Suspect): Suspect =>
	known && PHASES_BY_PRECEDENCE.indexOf(known.phase) >= PHASES_BY_PRECEDENCE.indexOf(other.phase) ? known : other;
