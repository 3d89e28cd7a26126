import {newSyntaxError} from './new-syntax-error.js';
import type {ParsedWord} from './parsed-word.js';

const BYTES_PER_UNIT: Readonly<Record<string, number>> = {
	B: 1, KiB: 2 ** 10, MiB: 2 ** 20, GiB: 2 ** 30, TiB: 2 ** 40,
};

const MILLISECONDS_PER_UNIT: Readonly<Record<string, number>> = {
	ms: 1, s: 1000, m: 60_000, h: 3_600_000,
};

const QUANTITY_PATTERN = /^(?<amount>\d+(?:\.\d+)?)(?<unit>[A-Za-z]+)$/v;

const parseQuantity = (word: ParsedWord, factors: Readonly<Record<string, number>>, example: string): number => {
	const groups = QUANTITY_PATTERN.exec(word.text)?.groups;
	const factor = factors[groups?.unit ?? ''];
	if (factor === undefined) {
		throw newSyntaxError(word, word.text, `a number with one of ${Object.keys(factors).join(', ')}, such as ${example}`);
	}

	return Math.round(Number(groups!.amount) * factor);
};

const parseNumber = (word: ParsedWord): number => {
	const number = Number(word.text);
	if (Number.isNaN(number)) {
		throw newSyntaxError(word, word.text, 'a number');
	}

	return number;
};

const RANGE_PATTERN = /^(?:(?<least>\d+)\.\.)?(?<most>\d+)$/v;

type ReplicaRange = {
	readonly minReplicas?: number;
	readonly maxReplicas: number;
};

const parseRange = (word: ParsedWord): ReplicaRange => {
	const groups = RANGE_PATTERN.exec(word.text)?.groups;
	if (!groups) {
		throw newSyntaxError(word, word.text, 'a number or a range such as 0..2');
	}

	const {least} = groups;
	return {...(least !== undefined && {minReplicas: Number(least)}), maxReplicas: Number(groups.most)};
};

/** Converts the values of an attribute into fields of a command. */
type AttributeParser = (values: readonly ParsedWord[]) => Readonly<Record<string, unknown>>;

/** Parsers for the values of all attributes of the operator language, by attribute name. */
export const ATTRIBUTE_PARSERS: Readonly<Record<string, AttributeParser>> = {
	memory: ([value]) => ({memoryBytes: parseQuantity(value, BYTES_PER_UNIT, '16GiB')}),
	replicas: ([value]) => parseRange(value),
	class: ([value]) => ({class: value.text}),
	teams: values => ({teams: values.map(value => value.text)}),
	classes: values => ({classes: values.map(value => value.text)}),
	version: ([value]) => ({version: value.text}),
	weight: ([value]) => ({weight: parseNumber(value)}),
	deadline: ([value]) => ({deadlineMs: parseQuantity(value, MILLISECONDS_PER_UNIT, '30s')}),
	queue: ([value]) => ({maxWaiting: parseNumber(value)}),
	limit: ([value]) => ({maxInProgress: parseNumber(value)}),
	hash: ([value]) => ({hash: value.text}),
	repeatable: () => ({isRepeatable: true}),
	'not repeatable': () => ({isRepeatable: false}),
	'read only': () => ({canWrite: false}),
};
