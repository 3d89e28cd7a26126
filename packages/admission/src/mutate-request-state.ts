import {getNextState, invariant, loadStateChart} from '@valelead/common';
import type {RequestRecord} from './request-record.js';

const REQUEST_CHART = loadStateChart(new URL('../charts/request.chart.json', import.meta.url));

/** Changes the state of a request by an event of its state chart. */
export const mutateRequestState = (record: RequestRecord, event: string): void => {
	const next = getNextState(REQUEST_CHART, record.state, event);
	invariant(next !== undefined, `request in ${record.state} takes ${event}`);
	record.state = next;
};
