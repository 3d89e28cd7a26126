import {assertNever} from '@valelead/common';
import {mutateAttemptEnd} from './mutate-attempt-end.js';
import {mutateCredits} from './mutate-credits.js';
import {mutateDispatch} from './mutate-dispatch.js';
import {mutateLane} from './mutate-lane.js';
import {mutateOrders} from './mutate-orders.js';
import {mutateStatus} from './mutate-status.js';
import {mutateUnit} from './mutate-unit.js';
import {mutateDueOrders} from './mutate-due-orders.js';
import type {AgentEffect} from './agent-effect.js';
import type {AgentEvent} from './agent-event.js';
import type {AgentSettings} from './agent-settings.js';
import type {AgentState} from './agent-state.js';
import type {OrderResult} from './order-result.js';

const mutateLoadEnd = (state: AgentState, settings: AgentSettings, key: string, result: OrderResult, now: number): AgentEffect[] => {
	const unit = state.units.get(key);
	if (!unit) {
		return [];
	}

	const event = {done: 'loaded', refused: 'refused', unknown: 'unknown'}[result];
	mutateUnit(unit, event, now);
	unit.failures = result === 'done' ? 0 : unit.failures + 1;
	unit.retryAt = now + settings.loadRetryMs;
	unit.lastUsedAt = now;
	return [{kind: 'report'}];
};

const mutateUnloadEnd = (state: AgentState, key: string, result: OrderResult, now: number): AgentEffect[] => {
	const unit = state.units.get(key);
	if (unit && result === 'done') {
		mutateUnit(unit, 'absent', now);
	}

	return [];
};

/**
 * Starts to unload all units once the agent has had no contact with the leader for the replica lease. The grants stay until the leader learns that
 * the units are unloaded.
 */
const mutateUnitsAtLeaseEnd = (state: AgentState, settings: AgentSettings, now: number): void => {
	if (now - state.confirmedAt <= settings.replicaLeaseMs || state.confirmedAt === Number.NEGATIVE_INFINITY) {
		return;
	}

	for (const unit of state.units.values()) {
		unit.isRevoking = true;
	}
};

const mutateLaneClosed = (state: AgentState, entry: string): void => {
	for (const creditId of state.lanes.get(entry)?.credits ?? []) {
		state.credits.delete(creditId);
	}

	state.lanes.delete(entry);
};

const mutateConfirmed = (state: AgentState, requestedAt: number): void => {
	state.confirmedAt = Math.max(state.confirmedAt, requestedAt);
};

const mutateEvent = (state: AgentState, settings: AgentSettings, event: AgentEvent, now: number): AgentEffect[] => {
	switch (event.kind) {
		case 'status': {
			mutateStatus(state, settings, event.status, event.requestedAt, now);
			return [];
		}

		case 'orders': {
			mutateConfirmed(state, event.requestedAt);
			mutateOrders(state, event.orders, now);
			return [];
		}

		case 'confirmed': {
			mutateConfirmed(state, event.requestedAt);
			return [];
		}

		case 'loadEnded': {
			return mutateLoadEnd(state, settings, event.unit, event.result, now);
		}

		case 'unloadEnded': {
			return mutateUnloadEnd(state, event.unit, event.result, now);
		}

		case 'lane': {
			mutateLane(state, event.entry, event.wanted);
			return [];
		}

		case 'laneClosed': {
			mutateLaneClosed(state, event.entry);
			return [];
		}

		case 'dispatch': {
			return mutateDispatch(state, settings, event, now);
		}

		case 'attemptEnded': {
			mutateAttemptEnd(state, event.attemptId, now);
			return [];
		}

		case 'stop': {
			state.isStopping = true;
			return [{kind: 'report'}];
		}

		case 'tick': {
			mutateUnitsAtLeaseEnd(state, settings, now);
			return [];
		}

		default: {
			return assertNever(event);
		}
	}
};

/**
 * Applies one event to the state of an agent and returns the actions to carry out.
 * @param now - The agent's monotonic time in milliseconds.
 */
export const mutateAgent = (state: AgentState, settings: AgentSettings, event: AgentEvent, now: number): AgentEffect[] => {
	const effects = mutateEvent(state, settings, event, now);
	return [...effects, ...mutateDueOrders(state, now), ...mutateCredits(state, settings, now)];
};
