import {mutateUnit} from './mutate-unit.js';
import {UNIT_STATE} from './unit-state.js';
import type {AgentSettings} from './agent-settings.js';
import type {AgentState} from './agent-state.js';
import type {AgentUnit} from './agent-unit.js';
import type {UpstreamStatus} from './upstream-status.js';
import type {UpstreamUnit} from './upstream-unit.js';

/** Adds a unit that the engine has loaded without a grant, as a unit to be unloaded. */
const mutateFoundUnit = (state: AgentState, found: UpstreamUnit, now: number): AgentUnit => {
	const unit: AgentUnit = {
		unit: found.unit,
		memoryBytes: found.memoryBytes,
		grantId: '',
		fence: state.revision,
		isRevoking: true,
		state: UNIT_STATE.Uncertain,
		base: '',
		inProgress: 0,
		lastUsedAt: now,
		changedAt: now,
		failures: 0,
		retryAt: now,
	};
	state.units.set(found.unit, unit);
	return unit;
};

/** Marks units as uncertain after a restart of the engine: it lost its loaded units, but an order in flight may have reached the new process. */
const mutateUnitsAtRestart = (state: AgentState, now: number): void => {
	for (const unit of state.units.values()) {
		if (unit.state !== UNIT_STATE.Reserved && unit.state !== UNIT_STATE.Gone) {
			unit.state = UNIT_STATE.Uncertain;
			unit.changedAt = now;
		}
	}
};

const mutatePresentUnit = (unit: AgentUnit, settings: AgentSettings, found: UpstreamUnit, requestedAt: number, now: number): void => {
	const settleMs = unit.state === UNIT_STATE.Unloading ? settings.settleMs : 0;
	if (requestedAt >= unit.changedAt + settleMs) {
		mutateUnit(unit, found.state === 'ready' ? 'foundReady' : 'foundLoading', now);
	}
};

const mutateMissingUnit = (unit: AgentUnit, settings: AgentSettings, requestedAt: number, now: number): void => {
	const isOrdered = unit.state === UNIT_STATE.Loading;
	const isSettled = requestedAt >= unit.changedAt + settings.settleMs;
	const needsSettling = unit.state === UNIT_STATE.Uncertain || unit.state === UNIT_STATE.Unloading;
	if (isOrdered || requestedAt < unit.changedAt || (needsSettling && !isSettled)) {
		return;
	}

	mutateUnit(unit, 'absent', now);
};

/** Updates the units from the engine's own inventory, which the agent requested at `requestedAt` (monotonic milliseconds). */
export const mutateStatus = (state: AgentState, settings: AgentSettings, status: UpstreamStatus, requestedAt: number, now: number): void => {
	if (state.status && state.status.incarnation !== status.incarnation) {
		mutateUnitsAtRestart(state, now);
	}

	state.status = status;
	const found = new Map(status.units.map(unit => [unit.unit, unit]));
	for (const upstreamUnit of status.units) {
		const unit = state.units.get(upstreamUnit.unit) ?? mutateFoundUnit(state, upstreamUnit, now);
		mutatePresentUnit(unit, settings, upstreamUnit, requestedAt, now);
	}

	for (const unit of state.units.values()) {
		if (!found.has(unit.unit)) {
			mutateMissingUnit(unit, settings, requestedAt, now);
		}
	}
};
