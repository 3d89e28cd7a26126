import * as fc from 'fast-check';
import {FAULTY_MODEL_STEP} from './faulty-model-step.js';

/** Longer than a rate loan lasts without confirmation, in milliseconds. */
const MAX_SUSPENSION_MS = 12_000;
const MAX_LONG_MS = 6000;
const COST = fc.integer({min: 1, max: 60});
const INDEX = fc.nat({max: 3});

/** Generates one event in a random history that lasts long enough for several terms with rate loans, and with suspended gateways. */
export const RATE_MODEL_STEP = fc.oneof(
	{weight: 20, arbitrary: FAULTY_MODEL_STEP},
	{weight: 12, arbitrary: fc.record({kind: fc.constant('ask' as const), index: INDEX, costs: fc.array(COST, {minLength: 2, maxLength: 8})})},
	{weight: 4, arbitrary: fc.record({kind: fc.constant('pass' as const), ms: fc.integer({min: 1, max: MAX_LONG_MS})})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('suspend' as const), index: INDEX, ms: fc.integer({min: 1, max: MAX_SUSPENSION_MS})})},
);
