import type {Route} from './route.js';

/**
 * The service that takes a request of the route.
 * @param position - Uniform in [0, 1); decides where the traffic is split.
 */
export const getService = (route: Route, position: number): string => {
	const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
	let rest = position * total;
	for (const {service, weight} of route.shares) {
		rest -= weight;
		if (rest < 0) {
			return service;
		}
	}

	return route.shares.findLast(share => share.weight > 0)?.service ?? '';
};
