import {getUsedBytes} from './get-used-bytes.js';
import {mutateUnit} from './mutate-unit.js';
import {UNIT_STATE} from './unit-state.js';
import type {AgentEffect} from './agent-effect.js';
import type {AgentState} from './agent-state.js';
import type {AgentUnit} from './agent-unit.js';
import type {UpstreamOrder} from './upstream-order.js';

/**
 * Returns an order with the newest revision as its fencing token: an engine may compare tokens across units, and orders need not be sent in the order
 * of the grants.
 */
const newOrder = (state: AgentState, unit: AgentUnit): UpstreamOrder => ({unit: unit.unit, memoryBytes: unit.memoryBytes, fence: state.revision});

/** Returns true if an adapter that needs this model is or may be loaded; the model is then not unloaded. */
const hasDependentUnit = (state: AgentState, unit: AgentUnit): boolean => [...state.units.values()]
	.some(other => other.base === unit.unit && other.state !== UNIT_STATE.Reserved && other.state !== UNIT_STATE.Gone);

const hasBase = (state: AgentState, unit: AgentUnit): boolean => unit.base === '' || state.units.get(unit.base)?.state === UNIT_STATE.Ready;

const newUnload = (state: AgentState, unit: AgentUnit, now: number): AgentEffect[] => {
	if (unit.inProgress > 0 || hasDependentUnit(state, unit) || !mutateUnit(unit, 'idle', now)) {
		return [];
	}

	return [{kind: 'unload', order: newOrder(state, unit)}];
};

/**
 * Orders the load of a unit. This is the only place that does so, and it requires a grant, a known inventory of the engine, and memory for all units
 * that are or may be loaded.
 */
const newLoad = (state: AgentState, unit: AgentUnit, now: number): AgentEffect[] => {
	const isDue = unit.state === UNIT_STATE.Reserved && !unit.isRevoking && now >= unit.retryAt;
	const hasRoom = getUsedBytes(state) + unit.memoryBytes <= (state.status?.memoryBytes ?? 0);
	const isAcceptingLoads = state.hasOrders && !state.isStopping;
	if (!isDue || !isAcceptingLoads || !hasRoom || !hasBase(state, unit) || !mutateUnit(unit, 'order', now)) {
		return [];
	}

	return [{kind: 'load', order: newOrder(state, unit)}];
};

const mutateAbsentUnit = (state: AgentState, unit: AgentUnit): AgentEffect[] => {
	state.units.delete(unit.unit);
	if (unit.grantId !== '') {
		state.released.add(unit.grantId);
	}

	return [{kind: 'report'}];
};

/** Advances the units as far as the current state allows, and returns the orders and reports to send. */
export const mutateDueOrders = (state: AgentState, now: number): AgentEffect[] => {
	const effects: AgentEffect[] = [];
	for (const unit of state.units.values()) {
		if (unit.isRevoking) {
			mutateUnit(unit, 'revoke', now);
		}

		switch (unit.state) {
			case UNIT_STATE.Draining: {
				effects.push(...newUnload(state, unit, now));
				break;
			}

			case UNIT_STATE.Reserved: {
				effects.push(...newLoad(state, unit, now));
				break;
			}

			case UNIT_STATE.Gone: {
				effects.push(...mutateAbsentUnit(state, unit));
				break;
			}

			default: {
				break;
			}
		}
	}

	return effects;
};
