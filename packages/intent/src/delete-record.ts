import type {Transaction} from './transaction.js';

/** Deletes a record and adds the inverse step to the transaction's undo log. */
export const deleteRecord = <Value>(transaction: Transaction, records: Map<string, Value>, key: string): void => {
	const previous = records.get(key);
	if (previous === undefined) {
		return;
	}

	transaction.undo.push(() => {
		records.set(key, previous);
	});
	records.delete(key);
};
