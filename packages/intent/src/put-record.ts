import type {Transaction} from './transaction.js';

/** Sets a record and notes how to undo it. */
export const putRecord = <Value>(transaction: Transaction, records: Map<string, Value>, key: string, value: Value): void => {
	const previous = records.get(key);
	transaction.undo.push(() => {
		if (previous === undefined) {
			records.delete(key);
		} else {
			records.set(key, previous);
		}
	});
	records.set(key, value);
};
