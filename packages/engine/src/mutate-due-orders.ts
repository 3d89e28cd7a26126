import {getUsedBytes} from './get-used-bytes.js';
import {mutateUnit} from './mutate-unit.js';
import {UNIT_STATE} from './unit-state.js';
import type {AgentEffect} from './agent-effect.js';
import type {AgentState} from './agent-state.js';
import type {AgentUnit} from './agent-unit.js';
import type {UpstreamOrder} from './upstream-order.js';

/** The newest revision is the fencing number, as an engine may compare it over all units and orders need not come in the order of grants. */
const newOrder = (state: AgentState, unit: AgentUnit): UpstreamOrder => ({unit: unit.unit, memoryBytes: unit.memoryBytes, fence: state.revision});

/** A model is not unloaded from under an adapter that may be on it. */
const hasDependentUnit = (state: AgentState, unit: AgentUnit): boolean => [...state.units.values()]
	.some(other => other.base === unit.unit && other.state !== UNIT_STATE.Reserved && other.state !== UNIT_STATE.Gone);

const hasBase = (state: AgentState, unit: AgentUnit): boolean => unit.base === '' || state.units.get(unit.base)?.state === UNIT_STATE.Ready;

const newUnload = (state: AgentState, unit: AgentUnit, now: number): AgentEffect[] => {
	if (unit.inProgress > 0 || hasDependentUnit(state, unit) || !mutateUnit(unit, 'idle', now)) {
		return [];
	}

	return [{kind: 'unload', order: newOrder(state, unit)}];
};

/** The one place that orders a load: only with a grant, a known inventory, and room for all that may be held. */
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

/** The orders that the present state calls for. */
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
