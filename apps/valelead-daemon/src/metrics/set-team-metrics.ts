import type {TeamDispatchCounts} from '../gateway/team-dispatch-counts.js';
import type {Metrics} from './metrics.js';

/** Sets the metrics of what is dispatched of each team. */
export const setTeamMetrics = (metrics: Metrics, counts: readonly TeamDispatchCounts[]): void => {
	metrics.teamDispatches.reset();
	for (const {team, own, others} of counts) {
		const label = metrics.getTeamLabel(team);
		metrics.teamDispatches.inc({team: label, gateway: 'own'}, own);
		metrics.teamDispatches.inc({team: label, gateway: 'others'}, others);
	}
};
