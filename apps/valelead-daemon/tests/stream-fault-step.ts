import * as fc from 'fast-check';
import {STREAM_FAULT_KIND} from './stream-fault-kind.js';

/** Generates one fault or change of a history of streams. */
export const STREAM_FAULT_STEP = fc.record({
	kind: fc.constantFrom(...Object.values(STREAM_FAULT_KIND)),
	/** Chooses the gateway, holder or engine. */
	index: fc.nat(11),
	holder: fc.nat(3),
	/** Time since the previous step, in milliseconds. */
	afterMs: fc.integer({min: 50, max: 2500}),
	forMs: fc.integer({min: 20, max: 4000}),
	service: fc.constantFrom('s', 't'),
	softwareVersion: fc.constantFrom('v1', 'v2', 'v3'),
});
