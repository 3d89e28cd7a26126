import type {PATTERN_SCHEMA} from './pattern-schema.js';

/** A pattern of load on an installation. */
export type Pattern = typeof PATTERN_SCHEMA.Type;
