import {getNextState, loadStateChart} from '@valelead/common';
import type {AgentUnit} from './agent-unit.js';

const UNIT_CHART = loadStateChart(new URL('../charts/unit.chart.json', import.meta.url));

/** Applies an event to a unit's state chart. Returns true if the state of the unit changed. */
export const mutateUnit = (unit: AgentUnit, event: string, now: number): boolean => {
	const next = getNextState(UNIT_CHART, unit.state, event);
	if (next === undefined || next === unit.state) {
		return false;
	}

	unit.state = next;
	unit.changedAt = now;
	return true;
};
