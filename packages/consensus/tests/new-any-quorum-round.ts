import fc from 'fast-check';
import type {QuorumRound} from './quorum-round.js';

const MAX_CHANGES = 7;
const MAX_GAP_MS = 60;
const MAX_DELAY_MS = 400;
const MAX_START_MS = 600;

/** Returns rounds of changes and faults for a quorum that tolerates the loss of so many disks at once. */
export const newAnyQuorumRound = (size: number, losses: number): fc.Arbitrary<QuorumRound> => fc.record({
	changes: fc.integer({min: 1, max: MAX_CHANGES}),
	gapMs: fc.nat({max: MAX_GAP_MS}),
	isolated: fc.option(fc.nat({max: size - 1}), {nil: undefined}),
	isRestarted: fc.boolean(),
	isTransferred: fc.boolean(),
	delayMs: fc.nat({max: MAX_DELAY_MS}),
	lost: fc.uniqueArray(fc.nat({max: size - 1}), {maxLength: losses}),
	isPowerLost: fc.boolean(),
	startMs: fc.array(fc.nat({max: MAX_START_MS}), {minLength: size, maxLength: size}),
});
