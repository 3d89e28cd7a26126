import type {LaneCost} from '@valelead/admission';

/** Returns the sum of several costs as one; undefined if there is none, so that admission compares upstreams without costs. */
export const getSummedLaneCost = (costs: readonly LaneCost[]): LaneCost | undefined => {
	if (costs.length === 0) {
		return undefined;
	}

	return (request, endpoint, loads) => costs.reduce((sum, getCost) => sum + getCost(request, endpoint, loads), 0);
};
