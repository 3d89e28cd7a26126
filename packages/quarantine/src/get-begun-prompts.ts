import {SUSPECT_PHASE} from './suspect-phase.js';
import type {CrashRecord} from './crash-record.js';

/** Returns the segments of each prompt to which a response had just begun at a crash. */
export const getBegunPrompts = ({suspects}: CrashRecord): Array<readonly string[]> =>
	[...suspects.values()].flatMap(({segments}) => segments?.phase === SUSPECT_PHASE.Begun ? [segments.fingerprints] : []);
