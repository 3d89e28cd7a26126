import type {Run} from './run.js';

/** True if `run` is an earlier run of the same upstream than `other`. */
export const isOlderRun = (run: Run, other: Run): boolean => run.instanceId === other.instanceId && run.bornAt < other.bornAt;
