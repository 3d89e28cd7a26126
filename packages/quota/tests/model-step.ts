import * as fc from 'fast-check';

const GATEWAYS = 4;
const MAX_COST = 60;
const MAX_ADVANCE_MS = 1500;

const INDEX = fc.nat({max: GATEWAYS - 1});
const COST = fc.integer({min: 1, max: MAX_COST});

const newStep = <Kind extends string>(kind: Kind) => fc.record({kind: fc.constant(kind), index: INDEX});

/** Generates one event in a random history of requests, reports, sessions and leaders. */
export const MODEL_STEP = fc.oneof(
	{weight: 6, arbitrary: fc.record({kind: fc.constant('pass' as const), ms: fc.integer({min: 1, max: MAX_ADVANCE_MS})})},
	{weight: 10, arbitrary: fc.record({kind: fc.constant('ask' as const), index: INDEX, costs: fc.array(COST, {minLength: 1, maxLength: 6})})},
	{weight: 4, arbitrary: fc.record({kind: fc.constant('report' as const), index: INDEX, costs: fc.array(COST, {maxLength: 6})})},
	{weight: 4, arbitrary: newStep('deliver')},
	{weight: 4, arbitrary: newStep('run')},
	{weight: 3, arbitrary: newStep('release')},
	{weight: 1, arbitrary: newStep('reconnect')},
	{weight: 1, arbitrary: newStep('restart')},
	{weight: 1, arbitrary: newStep('lead')},
);
