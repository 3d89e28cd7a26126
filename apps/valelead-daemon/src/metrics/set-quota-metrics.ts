import type {QuotaRegistry} from '../control/quota-registry.js';
import type {Metrics} from './metrics.js';

/** Sets the quota metrics of all teams. A voter that is not the leader has no levels, so its metrics are cleared. */
export const setQuotaMetrics = (metrics: Metrics, levels: QuotaRegistry['levels']): void => {
	metrics.quotaLevel.reset();
	metrics.lentQuota.reset();
	for (const {team, level, lent} of levels) {
		const labels = {team: metrics.getTeamLabel(team)};
		metrics.quotaLevel.set(labels, level);
		metrics.lentQuota.set(labels, lent);
	}
};
