import {QUARANTINE_SCORE} from './quarantine-score.js';
import {RUNNING_SCORE} from './running-score.js';

/** Crash score that a request starts from after its quarantine has expired: one more crash quarantines it again. */
export const HALF_OPEN_SCORE = QUARANTINE_SCORE - RUNNING_SCORE;
