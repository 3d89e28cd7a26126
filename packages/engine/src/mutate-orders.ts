import {mutateUnit} from './mutate-unit.js';
import {UNIT_STATE} from './unit-state.js';
import type {AgentGrant} from './agent-grant.js';
import type {AgentOrders} from './agent-orders.js';
import type {AgentState} from './agent-state.js';

/**
 * Adds a granted unit. A unit from the first orders after a start may already have been ordered by an earlier process of this agent, so its memory
 * counts as used until the engine's status shows that the unit is not loaded.
 */
const mutateAddedUnit = (state: AgentState, grant: AgentGrant, isFirst: boolean, now: number): void => {
	state.units.set(grant.unit, {
		unit: grant.unit,
		memoryBytes: grant.memoryBytes,
		grantId: grant.id,
		fence: grant.fence,
		isRevoking: grant.isRevoking,
		state: isFirst ? UNIT_STATE.Uncertain : UNIT_STATE.Reserved,
		base: grant.base,
		inProgress: 0,
		lastUsedAt: now,
		changedAt: now,
		failures: 0,
		retryAt: now,
	});
};

const mutateGrant = (state: AgentState, grant: AgentGrant, isFirst: boolean, now: number): void => {
	const unit = state.units.get(grant.unit);
	if (!unit) {
		mutateAddedUnit(state, grant, isFirst, now);
		return;
	}

	if (grant.fence >= unit.fence) {
		unit.grantId = grant.id;
		unit.fence = grant.fence;
		unit.base = grant.base;
		unit.isRevoking = grant.isRevoking;
	}
};

/** Applies the leader's orders, unless their revision is older than the newest one that the agent has applied. */
export const mutateOrders = (state: AgentState, orders: AgentOrders, now: number): void => {
	if (orders.revision < state.revision) {
		return;
	}

	const isFirst = !state.hasOrders;
	state.hasOrders = true;
	state.revision = orders.revision;
	state.isDrained = orders.isDrained;
	const granted = new Set(orders.grants.map(grant => grant.unit));
	const ids = new Set(orders.grants.map(grant => grant.id));
	for (const grantId of state.released) {
		if (!ids.has(grantId)) {
			state.released.delete(grantId);
		}
	}

	for (const grant of orders.grants) {
		if (!state.released.has(grant.id)) {
			mutateGrant(state, grant, isFirst, now);
		}
	}

	for (const unit of state.units.values()) {
		if (!granted.has(unit.unit)) {
			unit.isRevoking = true;
		}
	}

	mutateRevokedUnits(state, now);
};

/** Drains the ready units whose grant is being revoked, and releases those that were never loaded. */
const mutateRevokedUnits = (state: AgentState, now: number): void => {
	for (const unit of state.units.values()) {
		if (unit.isRevoking) {
			mutateUnit(unit, 'revoke', now);
		}
	}
};
