import {getTeamOfKey} from '@valelead/access';
import {RESULT_CODE} from '@valelead/common';
import {type Quota, QUOTA_UNIT, getRequestCost} from '@valelead/quota';
import {
	type Route, type RouteTable, type Team, getPriorityRank,
} from '@valelead/routing';
import type {CallerRequest} from '../adapter/caller-request.js';
import type {CallerCheck} from './caller-check.js';

type CallerTerms = {
	readonly table: RouteTable;
	readonly route: Route;
	readonly head: CallerRequest;
	/** True if the routing is recent enough to rule out that one of its keys has been revoked since. */
	readonly isConfirmed: boolean;
};

const getCost = (quota: Quota, {hasTokenCount, promptTokens, maxNewTokens}: CallerRequest): number =>
	getRequestCost(quota, hasTokenCount ? promptTokens + maxNewTokens : undefined);

const newKnown = ({table, route, head}: CallerTerms, team: Team | undefined): CallerCheck => {
	const quota = team?.quota;
	if (quota?.unit === QUOTA_UNIT.Token && !head.isTokenCountValid) {
		return {kind: 'refused', code: RESULT_CODE.MalformedRequest};
	}

	return {kind: 'known', caller: {team, rank: getPriorityRank(table, route, team), cost: quota ? getCost(quota, head) : 0}};
};

/** Authenticates a request. Keys are looked up only in a confirmed routing, as an older one may still contain a key that was revoked since. */
export const getCallerCheck = (terms: CallerTerms): CallerCheck => {
	const {table, route, head, isConfirmed} = terms;
	if (table.routing.teams === undefined) {
		return newKnown(terms, undefined);
	}

	if (!isConfirmed) {
		return route.isOpen ? newKnown(terms, undefined) : {kind: 'refused', code: RESULT_CODE.ConfigurationTooOld};
	}

	const holder = head.key === undefined ? undefined : getTeamOfKey(table.keys, head.key);
	const team = holder === undefined ? undefined : table.teams.get(holder);
	return team === undefined && !route.isOpen ? {kind: 'refused', code: RESULT_CODE.Unauthenticated} : newKnown(terms, team);
};
