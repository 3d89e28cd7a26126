import type {Directory} from './directory.js';
import type {Upstream} from './upstream.js';

/** The newest run that is known of an upstream, also one that has left. */
export const getNewestRun = ({entries, newestRuns}: Directory, instanceId: string): Upstream | undefined => entries.get(newestRuns.get(instanceId) ?? '')?.upstream;
