import {getKeyFaults} from '@valelead/access';
import type {Route} from './route.js';
import type {Routing} from './routing.js';
import type {RoutingFault} from './routing-fault.js';
import type {Team} from './team.js';

const getRouteReasons = (route: Route, services: ReadonlySet<string>): string[] => {
	const reasons: string[] = [];
	for (const {service} of route.shares) {
		if (!services.has(service)) {
			reasons.push(`service ${service} does not exist`);
		}
	}

	const totalWeight = route.shares.reduce((sum, share) => sum + share.weight, 0);
	if (totalWeight <= 0 || route.shares.some(share => share.weight < 0)) {
		reasons.push('the weights are negative or add up to 0');
	}

	if (route.timeoutMs <= 0) {
		reasons.push('the timeout is not positive');
	}

	return reasons;
};

const getQuotaReasons = ({quota}: Team): string[] => {
	const amounts = quota ? [quota.perSecond, quota.burst, quota.plainTokens] : [];
	return amounts.every(amount => amount >= 0) ? [] : ['a figure of the quota is negative'];
};

const getTeamFaults = (teams: readonly Team[]): RoutingFault[] => [
	...getKeyFaults(teams).map(({team, reason}) => ({path: `teams.${team}`, reason})),
	...teams.flatMap(team => getQuotaReasons(team).map(reason => ({path: `teams.${team.name}`, reason}))),
];

/** Validates a routing configuration and returns all its errors. The configuration is accepted only if there are none. */
export const getRoutingFaults = (routing: Routing): RoutingFault[] => {
	const services = new Set(routing.services.map(service => service.name));
	const locations = new Set<string>();
	const faults: RoutingFault[] = [];
	for (const route of routing.routes) {
		const path = `routes.${route.name}`;
		const location = `${route.host}${route.pathPrefix}`;
		if (locations.has(location)) {
			faults.push({path, reason: 'another route has the same host and prefix'});
		}

		locations.add(location);
		faults.push(...getRouteReasons(route, services).map(reason => ({path, reason})));
	}

	faults.push(...getTeamFaults(routing.teams ?? []));
	return faults;
};
