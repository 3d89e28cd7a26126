import type {Transaction} from './transaction.js';

/** Adds or replaces a record and adds the inverse step to the transaction's undo log. */
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
