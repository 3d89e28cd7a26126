import {readFileSync} from 'node:fs';
import * as Schema from 'effect/Schema';
import {invariant} from './invariant.js';
import type {StateChart} from './state-chart.js';

const CHART_SCHEMA = Schema.Struct({
	name: Schema.String,
	initial: Schema.String,
	states: Schema.Record(Schema.String, Schema.Struct({on: Schema.Record(Schema.String, Schema.String)})),
});

/** Loads a state chart from its JSON file. Throws if the file is malformed or a transition leads to a state that does not exist. */
export const loadStateChart = (file: URL): StateChart => {
	const chart = Schema.decodeUnknownSync(CHART_SCHEMA)(JSON.parse(readFileSync(file, 'utf8')));
	invariant(chart.states[chart.initial], `chart ${chart.name} has its initial state`);
	for (const state of Object.values(chart.states)) {
		for (const target of Object.values(state.on)) {
			invariant(chart.states[target], `chart ${chart.name} has state ${target}`);
		}
	}

	return chart;
};
