import type {LaneCost} from '@valelead/admission';

/** Returns the sum of several costs as one; undefined if there is none, so that admission compares upstreams without costs. */
export const getSummedLaneCost = (costs: readonly LaneCost[]): LaneCost | undefined => {
	if (costs.length === 0) {
		return undefined;
	}

	return (request, loads) => {
		const parts = costs.map(newCost => newCost(request, loads));
		return endpoint => {
			let sum = 0;
			for (const getCost of parts) {
				sum += getCost(endpoint);
			}

			return sum;
		};
	};
};
