import {QUARANTINE_BLAME} from './quarantine-blame.js';
import {RUNNING_SCORE} from './running-score.js';

/** What a request keeps of its blame when its quarantine ends by time: one more crash is enough. */
export const HALF_OPEN_SCORE = QUARANTINE_BLAME - RUNNING_SCORE;
