import type {Run} from './run.js';

/** Names a run among all runs of all upstreams, so that whatever is known by this name ends with the run. */
export const getRunId = ({instanceId, bornAt}: Run): string => bornAt === 0 ? instanceId : `${instanceId}@${bornAt}`;
