import {RESULT_CODE, ValeleadError} from '@valelead/common';

/** Returns the record with the given name, or throws a ValeleadError if the record does not exist. */
export const requirePresent = <Value>(records: ReadonlyMap<string, Value>, name: string, kind: string): Value => {
	const value = records.get(name);
	if (value === undefined) {
		throw new ValeleadError(`there is no ${kind} ${name}`, {code: RESULT_CODE.NotFound});
	}

	return value;
};
