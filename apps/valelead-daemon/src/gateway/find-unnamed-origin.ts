import type {Route} from '@valelead/routing';
import {type StreamOrigin, getOriginKey} from '@valelead/stream-origin';
import type {CallerRequest} from '../adapter/caller-request.js';
import type {Caller} from './caller.js';
import type {OriginSource} from './origin-source.js';

type UnnamedRequest = {
	readonly route: Route;
	readonly caller: Caller;
	readonly head: CallerRequest;
};

/** Returns where every stream of the route began, whichever it is: at the only software version of the route's only service. */
const findSoleOrigin = async ({shares}: Route, {findSoleVersion}: OriginSource): Promise<StreamOrigin | undefined> => {
	const [service, ...others] = shares.filter(({weight}) => weight > 0).map(share => share.service);
	const softwareVersion = others.length === 0 ? await findSoleVersion(service) : '';
	return softwareVersion ? {service, softwareVersion, runId: ''} : undefined;
};

/**
 * Returns where a stream began whose caller does not name the attempt that began it; undefined if that is not certain. Either there is only one version at
 * which it can have begun, or the caller has kept the id of its first attempt.
 */
export const findUnnamedOrigin = async ({route, caller, head}: UnnamedRequest, source: OriginSource): Promise<StreamOrigin | undefined> =>
	await findSoleOrigin(route, source) ?? source.findOrigin(getOriginKey(caller.team?.name ?? '', head.id), head.id);
