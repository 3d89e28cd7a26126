import * as fc from 'fast-check';
import {FAULT_KIND} from './fault-kind.js';

/** Generates a fault of the simulation: some processes are suspended, or one gateway is partitioned from all voters. */
export const FAULT_STEP = fc.record({
	kind: fc.constantFrom(...Object.values(FAULT_KIND)),
	gateway: fc.nat(2),
	/** Time from the first request or the end of the previous fault to the start of this one, in milliseconds. */
	afterMs: fc.integer({min: 0, max: 1500}),
	forMs: fc.integer({min: 20, max: 5000}),
});
