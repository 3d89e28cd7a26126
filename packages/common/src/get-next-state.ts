import type {StateChart} from './state-chart.js';

/** The state after an event, or undefined where the chart ignores the event in this state. */
export const getNextState = (chart: StateChart, state: string, event: string): string | undefined => chart.states[state]?.on[event];
