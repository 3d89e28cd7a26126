import type {ServiceRoute} from './service-route.js';

/** Returns the route of a service whose requests must not run more than once, which is the safe default. */
export const newServiceRoute = (name: string): ServiceRoute => ({
	name,
	class: 'default',
	teams: [],
	isRepeatable: false,
	isStopped: false,
});
