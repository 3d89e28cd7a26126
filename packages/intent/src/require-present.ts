import {RESULT_CODE, ValeleadError} from '@valelead/common';

/** The record of this name; throws if there is none. */
export const requirePresent = <Value>(records: ReadonlyMap<string, Value>, name: string, kind: string): Value => {
	const value = records.get(name);
	if (value === undefined) {
		throw new ValeleadError(`there is no ${kind} ${name}`, {code: RESULT_CODE.NotFound});
	}

	return value;
};
