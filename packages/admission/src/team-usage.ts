import type {RemoteDispatches} from './remote-dispatches.js';

/** The requests of a team at this entry, and the service that the team has received. */
export type TeamUsage = {
	waiting: number;
	inProgress: number;
	/** The number of dispatched requests of the team divided by its weight, which orders teams for fair queueing. */
	virtualTime: number;
	/** The number of dispatches at this entry since its start, divided by the weight of the team. */
	dispatched: number;
	/** The recent dispatches at other entries, oldest first. */
	recentRemote: readonly RemoteDispatches[];
};
