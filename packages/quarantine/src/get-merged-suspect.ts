import {SUSPECT_PHASE} from './suspect-phase.js';
import type {Suspect} from './suspect.js';

/** Of two copies of one request the later of these phases counts. */
const PHASES_BY_PRECEDENCE: readonly string[] = [SUSPECT_PHASE.Unanswered, SUSPECT_PHASE.Begun, SUSPECT_PHASE.Running];

/**
 * What two copies of one request at the same crash say together. One that had run for a while speaks for the other: a request that crashes upstreams
 * as it begins has no copy that runs, and one that many callers ask at the same time has.
 */
export const getMergedSuspect = (known: Suspect | undefined, other: Suspect): Suspect =>
	known && PHASES_BY_PRECEDENCE.indexOf(known.phase) >= PHASES_BY_PRECEDENCE.indexOf(other.phase) ? known : other;
