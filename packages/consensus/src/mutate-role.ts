import {getNextState, invariant, loadStateChart} from '@valelead/common';
import type {ConsensusState} from './consensus-state.js';

const ROLE_CHART = loadStateChart(new URL('../charts/role.chart.json', import.meta.url));

/** Changes the role of the voter as its state chart defines for the event. */
export const mutateRole = (state: ConsensusState, event: string): void => {
	const next = getNextState(ROLE_CHART, state.role, event);
	invariant(next !== undefined, `the role chart allows ${event} in role ${state.role}`);
	state.role = next;
};
