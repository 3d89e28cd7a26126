import {RESULT_CODE, ValeleadError} from '@valelead/common';
import type {Condition} from './condition.js';
import type {Row} from './row.js';
import type {Show} from './show.js';
import type {SortKey} from './sort-key.js';

type Value = Row[string];

const compareValues = (left: Value, right: Value): number => {
	if (typeof left === 'number' && typeof right === 'number') {
		return left - right;
	}

	return String(left).localeCompare(String(right));
};

const parseValue = (text: string, reference: Value): Value => typeof reference === 'number' ? Number(text) : text;

const isMatch = (row: Row, condition: Condition): boolean => {
	const value = row[condition.field];
	const difference = compareValues(value, parseValue(condition.value, value));
	switch (condition.operator) {
		case '=': {
			return difference === 0;
		}

		case '!=': {
			return difference !== 0;
		}

		case '<': {
			return difference < 0;
		}

		case '<=': {
			return difference <= 0;
		}

		case '>': {
			return difference > 0;
		}

		case '>=': {
			return difference >= 0;
		}

		default: {
			return String(value).includes(condition.value);
		}
	}
};

const checkField = (rows: readonly Row[], field: string): void => {
	const [first] = rows;
	if (first && !(field in first)) {
		throw new ValeleadError(`there is no field ${field}; fields: ${Object.keys(first).join(', ')}`, {code: RESULT_CODE.UnknownField});
	}
};

const compareRows = (left: Row, right: Row, order: readonly SortKey[]): number => {
	for (const {field, isDescending} of order) {
		const difference = compareValues(left[field], right[field]);
		if (difference !== 0) {
			return isDescending ? -difference : difference;
		}
	}

	return 0;
};

/** Filters, sorts and limits rows as a `show` statement requests. Throws UnknownField if the rows do not have a field that it names. */
export const selectRows = (rows: readonly Row[], show: Show): Row[] => {
	for (const {field} of [...show.conditions, ...show.order]) {
		checkField(rows, field);
	}

	const matching = rows.filter(row => show.conditions.every(condition => isMatch(row, condition)));
	const sorted = matching.sort((left, right) => compareRows(left, right, show.order));
	return sorted.slice(0, show.limit);
};
