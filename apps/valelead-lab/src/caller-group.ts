import type {Pattern} from './pattern.js';

/** One class of a pattern's requests. */
export type CallerGroup = Pattern['classes'][number];
