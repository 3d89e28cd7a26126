import * as fc from 'fast-check';
import {MODEL_STEP} from './model-step.js';

const INDEX = fc.nat({max: 3});
const COST = fc.integer({min: 1, max: 60});

/** Time that passes between most events, in milliseconds: short, so that demand exceeds the quota by far. */
const MAX_SHORT_MS = 300;

/** Generates one event in a random history with many changes of leaders, and with requests that are served from stock while no leader answers. */
export const FAULTY_MODEL_STEP = fc.oneof(
	{weight: 6, arbitrary: MODEL_STEP},
	{weight: 4, arbitrary: fc.record({kind: fc.constant('pass' as const), ms: fc.integer({min: 1, max: MAX_SHORT_MS})})},
	{weight: 8, arbitrary: fc.record({kind: fc.constant('ask' as const), index: INDEX, costs: fc.array(COST, {minLength: 10, maxLength: 20})})},
	{weight: 6, arbitrary: fc.record({kind: fc.constant('run' as const), index: INDEX})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('lead' as const), index: INDEX})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('spend' as const), index: INDEX, costs: fc.array(COST, {minLength: 1, maxLength: 6})})},
);
