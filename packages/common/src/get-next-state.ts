import type {StateChart} from './state-chart.js';

/** Returns the state that follows an event, or undefined if the chart ignores the event in the given state. */
export const getNextState = (chart: StateChart, state: string, event: string): string | undefined => chart.states[state]?.on[event];
