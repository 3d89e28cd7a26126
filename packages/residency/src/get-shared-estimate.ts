/**
 * The estimate that several processes report of how many fetches the weight store sustains: the lower median, so that neither a process that sees
 * few engines nor an outdated report decides. 0 if none reports one; a report of 0 states no estimate.
 */
export const getSharedEstimate = (reported: readonly number[]): number => {
	const sorted = reported.filter(count => count > 0).sort((left, right) => left - right);
	return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
};
