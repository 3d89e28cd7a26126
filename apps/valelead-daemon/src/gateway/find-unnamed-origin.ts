import {type Route, getRouteKey, getStreamServices} from '@valelead/routing';
import {type StreamOrigin, getOriginKey} from '@valelead/stream-origin';
import type {CallerRequest} from '../adapter/caller-request.js';
import type {Caller} from './caller.js';
import type {OriginSource} from './origin-source.js';

type UnnamedRequest = {
	readonly route: Route;
	readonly caller: Caller;
	readonly head: CallerRequest;
};

type UnnamedOrigin = {
	/** Undefined if it is not certain where the stream began. */
	readonly origin: StreamOrigin | undefined;
	/** True if no leader replied, so that a later attempt may succeed. */
	readonly isLeaderSilent: boolean;
};

const getSoleService = (route: Route): string | undefined => {
	const [service, ...others] = getStreamServices(route);
	return others.length === 0 ? service : undefined;
};

/**
 * Finds where a stream began whose caller does not name the attempt that began it. That is certain if there is only one software version of the route's only
 * service at which it can have begun, or if the caller has kept the id of its first attempt. Both are looked up at the same time.
 */
export const findUnnamedOrigin = async ({route, caller, head}: UnnamedRequest, source: OriginSource): Promise<UnnamedOrigin> => {
	const own = source.findOrigin(getOriginKey(caller.team?.name ?? '', head.id), head.id);
	const service = getSoleService(route);
	const softwareVersion = service === undefined ? '' : await source.findSoleVersion(getRouteKey(route), service);
	if (service !== undefined && softwareVersion) {
		return {origin: {service, softwareVersion, runId: ''}, isLeaderSilent: false};
	}

	return {origin: await own, isLeaderSilent: softwareVersion === undefined};
};
