import type {Draft} from './draft.js';

/** Sets a record and notes how to undo it. */
export const putRecord = <Value>(draft: Draft, records: Map<string, Value>, key: string, value: Value): void => {
	const previous = records.get(key);
	draft.undo.push(() => {
		if (previous === undefined) {
			records.delete(key);
		} else {
			records.set(key, previous);
		}
	});
	records.set(key, value);
};
