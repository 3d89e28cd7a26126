import {getNextState, loadStateChart} from '@valelead/common';
import type {UpstreamStateValue} from './upstream-state-value.js';

const UPSTREAM_CHART = loadStateChart(new URL('../charts/upstream.chart.json', import.meta.url));

/**
 * Returns the state of a run after the run has declared a state, or has been observed in one. What a run has declared outlasts what is observed: no transition
 * leads back from draining or gone.
 */
export const getStateAfter = (state: UpstreamStateValue, event: UpstreamStateValue): UpstreamStateValue => getNextState(UPSTREAM_CHART, state, event) as UpstreamStateValue;
