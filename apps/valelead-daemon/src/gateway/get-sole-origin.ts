import type {Route} from '@valelead/routing';
import {type StreamOrigin, type VersionHistory, getSoleVersion} from '@valelead/stream-origin';

/**
 * Returns where every stream of a route began, whichever it is: at the only software version of the route's only service. Undefined if there are
 * several services or versions.
 */
export const getSoleOrigin = (route: Route, history: VersionHistory, now: number): StreamOrigin | undefined => {
	const services = route.shares.filter(({weight}) => weight > 0).map(({service}) => service);
	const softwareVersion = services.length === 1 ? getSoleVersion(history, services[0], now) : undefined;
	return softwareVersion === undefined ? undefined : {service: services[0], softwareVersion, runId: ''};
};
