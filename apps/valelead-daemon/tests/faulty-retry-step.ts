import fc from 'fast-check';
import {RETRY_STEP} from './retry-step.js';

/** The most gateways in a modelled installation. */
const MAX_GATEWAYS = 9;

const FAULT = fc.constantFrom('mute' as const, 'delay' as const, 'pause' as const);

/** Generates the steps of a history that also includes lost reports, delayed updates, paused processes and times without a leader. */
export const FAULTY_RETRY_STEP = fc.oneof(
	{weight: 10, arbitrary: RETRY_STEP},
	{weight: 8, arbitrary: fc.record({kind: fc.constant('pass' as const), ms: fc.integer({min: 250, max: 4000}), share: fc.constant(1)})},
	{weight: 3, arbitrary: fc.record({kind: FAULT, index: fc.nat(MAX_GATEWAYS - 1)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('kill leader' as const)})},
);
