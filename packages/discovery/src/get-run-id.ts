import type {Run} from './run.js';

/** Returns an id that is unique among all runs of all upstreams, so that state stored under it does not carry over to the next run. */
export const getRunId = ({instanceId, bornAt}: Run): string => bornAt === 0 ? instanceId : `${instanceId}@${bornAt}`;
