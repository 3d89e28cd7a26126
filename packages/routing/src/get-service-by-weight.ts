import type {Route} from './route.js';

/**
 * Chooses the service that receives a request of the route, in proportion to the weights of the route's services.
 * @param position - A number that is uniformly distributed in [0, 1) over the requests of the route.
 */
export const getServiceByWeight = (route: Route, position: number): string => {
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
