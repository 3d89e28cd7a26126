import {RESULT_CODE, ValeleadError} from '@valelead/common';

/** Throws a ValeleadError if a record with the given name exists. */
export const requireAbsent = (records: ReadonlyMap<string, unknown>, name: string, kind: string): void => {
	if (records.has(name)) {
		throw new ValeleadError(`${kind} ${name} exists`, {code: RESULT_CODE.AlreadyExists});
	}
};
