import {getNextState, invariant, loadStateChart} from '@valelead/common';
import type {ConsensusState} from './consensus-state.js';

const ROLE_CHART = loadStateChart(new URL('../charts/role.chart.json', import.meta.url));

/** Changes the role of the voter as its state chart defines for the event. */
export const mutateRole = (state: ConsensusState, event: string): void => {
	const next = getNextState(ROLE_CHART, state.role, event);
	invariant(next !== undefined, `role ${state.role} has a transition for ${event}`);
	state.role = next;
};
