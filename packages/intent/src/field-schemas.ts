import * as Schema from 'effect/Schema';

const MAX_DURATION_MS = 86_400_000;
const MAX_COUNT = 1_000_000;

/** Schemas of fields that several commands have. */
const NAME = Schema.String.check(Schema.isPattern(/^[a-z\d][\w.\-]{0,62}$/v));
const WEIGHT = Schema.Finite.check(Schema.isBetween({minimum: 0.001, maximum: 1000}));
const COUNT = Schema.Int.check(Schema.isBetween({minimum: 0, maximum: MAX_COUNT}));
const DURATION_MS = Schema.Int.check(Schema.isBetween({minimum: 1, maximum: MAX_DURATION_MS}));
const BYTES = Schema.Int.check(Schema.isBetween({minimum: 0, maximum: Number.MAX_SAFE_INTEGER}));
const HASH = Schema.String.check(Schema.isPattern(/^[\da-f]{64}$/v));
const INCARNATION = Schema.String.check(Schema.isPattern(/^\d{13,}-[\w\-]+$/v));

export {
	BYTES, COUNT, DURATION_MS, HASH, INCARNATION, NAME, WEIGHT,
};
