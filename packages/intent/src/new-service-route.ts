import type {ServiceRoute} from './service-route.js';

/** A route whose calls may not be repeated, which is the safe default. */
export const newServiceRoute = (name: string): ServiceRoute => ({
	name,
	class: 'default',
	teams: [],
	isRepeatable: false,
	isStopped: false,
});
