import {UNIT_STATE} from './unit-state.js';
import type {AgentState} from './agent-state.js';
import type {ReportedUnit} from './reported-unit.js';

/** Loads that were refused this often in a row are reported as failed. */
const MIN_FAILED_LOADS = 3;

/** The units of the VM as the agent reports them to the leader. */
export const getUnitReports = (state: AgentState, now: number): ReportedUnit[] => [...state.units.values()].map(unit => ({
	unit: unit.unit,
	state: unit.state === UNIT_STATE.Reserved && unit.failures >= MIN_FAILED_LOADS ? 'failed' : unit.state,
	inProgress: unit.inProgress,
	idleMs: now - unit.lastUsedAt,
}));
