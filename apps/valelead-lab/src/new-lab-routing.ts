import {
	ROUTE_KIND, type RouteTable, newRouteTable,
} from '@valelead/routing';
import type {CallerGroup} from './caller-group.js';
import type {Pattern} from './pattern.js';
import {LAB_NAMES} from './lab-names.js';
import {newModels} from './new-models.js';

const UNUSED_LIMIT = Number.MAX_SAFE_INTEGER;

const newRoute = (callerGroup: CallerGroup): RouteTable['routing']['routes'][number] => ({
	name: callerGroup.name,
	host: 'lab',
	pathPrefix: `/${callerGroup.name}/`,
	kind: ROUTE_KIND.Stream,
	isOpen: true,
	isResumable: callerGroup.isResumable,
	timeoutMs: callerGroup.deadlineMs,
	objectiveMs: callerGroup.objectiveMs,
	pauseObjectiveMs: callerGroup.pauseObjectiveMs,
	callerPatienceMs: callerGroup.patienceMs,
	priority: callerGroup.priority,
	maxAttempts: callerGroup.maxAttempts,
	shares: [{service: LAB_NAMES.service, weight: 1}],
});

/** The routing that a pattern's gateways and sidecars follow. */
export const newLabRouting = (pattern: Pattern): RouteTable => newRouteTable({
	version: 1,
	routes: pattern.classes.map(callerGroup => newRoute(callerGroup)),
	services: [{
		name: LAB_NAMES.service,
		healthPath: '/',
		maxConnections: UNUSED_LIMIT,
		engine: {
			slots: pattern.engines.slots,
			cacheTokens: UNUSED_LIMIT,
			weightMemory: pattern.engines.weightMemory,
			adapterSlots: pattern.engines.adapterSlots,
			loadsPerSecond: UNUSED_LIMIT,
			models: [...newModels(pattern).values()],
		},
	}],
	limits: {
		maxHeaderBytes: UNUSED_LIMIT, maxBodyBytes: UNUSED_LIMIT, headerTimeoutMs: UNUSED_LIMIT, idleTimeoutMs: UNUSED_LIMIT,
	},
	teams: undefined,
});
