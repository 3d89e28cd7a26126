import fc from 'fast-check';

/** The most gateways in a modelled installation. */
const MAX_GATEWAYS = 9;

const GATEWAY = fc.nat(MAX_GATEWAYS - 1);

/** Generates the steps of a history: time that passes with requests, and faults of gateways and leaders. */
export const RETRY_STEP = fc.oneof(
	{weight: 6, arbitrary: fc.record({kind: fc.constant('pass' as const), ms: fc.integer({min: 100, max: 4000}), share: fc.double({min: 0, max: 1, noNaN: true})})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('kill' as const), index: GATEWAY})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('kill all' as const)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('lead' as const)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('cut' as const), index: GATEWAY})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('join' as const), index: GATEWAY})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('remove' as const), index: GATEWAY})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('rest' as const), ms: fc.integer({min: 5000, max: 30_000})})},
);
