import {QUARANTINE_BLAME} from './quarantine-blame.js';
import {RUNNING_BLAME} from './running-blame.js';

/** What a request keeps of its blame when its quarantine ends by time: one more crash is enough. */
export const HALF_OPEN_BLAME = QUARANTINE_BLAME - RUNNING_BLAME;
