import type {Directory} from './directory.js';
import type {Upstream} from './upstream.js';

/** Returns the newest known run of an upstream, even if it has departed. */
export const getNewestRun = ({entries, newestRuns}: Directory, instanceId: string): Upstream | undefined => entries.get(newestRuns.get(instanceId) ?? '')?.upstream;
