import {UNIT_STATE} from './unit-state.js';
import type {AgentState} from './agent-state.js';
import type {ReportedUnit} from './reported-unit.js';

/** A unit whose load has failed this many times in a row is reported as failed. */
const MIN_FAILED_LOADS = 3;

/** Returns the units of the VM in the form in which the agent reports them to the leader. */
export const getUnitReports = (state: AgentState, now: number): ReportedUnit[] => [...state.units.values()].map(unit => ({
	unit: unit.unit,
	state: unit.state === UNIT_STATE.Reserved && unit.failures >= MIN_FAILED_LOADS ? 'failed' : unit.state,
	inProgress: unit.inProgress,
	idleMs: now - unit.lastUsedAt,
}));
