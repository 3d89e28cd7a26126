import {
	ROUTE_KIND, type RouteTable, newRouteTable,
} from '@valelead/routing';
import type {CallerClass} from './caller-class.js';
import type {Pattern} from './pattern.js';
import {newModels} from './new-models.js';

/** The one service of the laboratory. */
const SERVICE = 'llm';

const UNUSED_LIMIT = Number.MAX_SAFE_INTEGER;

const newRoute = (callerClass: CallerClass): RouteTable['routing']['routes'][number] => ({
	name: callerClass.name,
	host: 'lab',
	pathPrefix: `/${callerClass.name}/`,
	kind: ROUTE_KIND.Stream,
	isResumable: callerClass.isResumable,
	timeoutMs: callerClass.deadlineMs,
	objectiveMs: callerClass.objectiveMs,
	pauseObjectiveMs: callerClass.pauseObjectiveMs,
	patienceMs: callerClass.patienceMs,
	priority: callerClass.priority,
	maxAttempts: callerClass.maxAttempts,
	shares: [{service: SERVICE, weight: 1}],
});

/** The routing that a pattern's gateways and sidecars follow. */
export const newLabRouting = (pattern: Pattern): RouteTable => newRouteTable({
	version: 1,
	routes: pattern.classes.map(callerClass => newRoute(callerClass)),
	services: [{
		name: SERVICE,
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
});
