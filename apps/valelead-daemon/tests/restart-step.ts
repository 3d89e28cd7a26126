import fc from 'fast-check';

/** The most gateways in a modelled installation. */
const MAX_GATEWAYS = 9;

/** Generates the steps of a history in which gateways end and start again every 0.25 to 3 s while every request fails, and leaders end too. */
export const RESTART_STEP = fc.oneof(
	{weight: 6, arbitrary: fc.record({kind: fc.constant('pass' as const), ms: fc.integer({min: 250, max: 3000}), share: fc.constant(1)})},
	{weight: 4, arbitrary: fc.record({kind: fc.constant('kill' as const), index: fc.nat(MAX_GATEWAYS - 1)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('kill all' as const)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('kill leader' as const)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('lead' as const)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('rest' as const), ms: fc.integer({min: 5000, max: 15_000})})},
);
