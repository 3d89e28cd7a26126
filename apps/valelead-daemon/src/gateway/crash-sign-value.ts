import type {CRASH_SIGN} from './crash-sign.js';

/** A kind of evidence that an upstream crashed. */
export type CrashSignValue = (typeof CRASH_SIGN)[keyof typeof CRASH_SIGN];
