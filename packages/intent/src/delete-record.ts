import type {Draft} from './draft.js';

/** Deletes a record and notes how to undo it. */
export const deleteRecord = <Value>(draft: Draft, records: Map<string, Value>, key: string): void => {
	const previous = records.get(key);
	if (previous === undefined) {
		return;
	}

	draft.undo.push(() => {
		records.set(key, previous);
	});
	records.delete(key);
};
