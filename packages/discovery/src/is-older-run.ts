import type {Run} from './run.js';

/** Whether a run is an earlier one of the same upstream. */
export const isOlderRun = (run: Run, other: Run): boolean => run.instanceId === other.instanceId && run.bornAt < other.bornAt;
