import type {CrashWatch} from './crash-watch.js';

/** Creates a crash watch without any watched runs. */
export const newCrashWatch = (): CrashWatch => ({runs: new Map()});
