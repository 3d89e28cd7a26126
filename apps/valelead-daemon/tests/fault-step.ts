import * as fc from 'fast-check';
import {FAULT_KIND} from './fault-kind.js';

/** A disturbance of the model: some processes stand still, or one gateway is cut off from all voters. */
export const FAULT_STEP = fc.record({
	kind: fc.constantFrom(...Object.values(FAULT_KIND)),
	gateway: fc.nat(2),
	/** After the first try began or the last disturbance ended, in milliseconds. */
	afterMs: fc.integer({min: 0, max: 1500}),
	forMs: fc.integer({min: 20, max: 5000}),
});
