import type {PersistEffect} from './persist-effect.js';
import type {MutableStoredLog} from './mutable-stored-log.js';

/** Applies one persist effect to the stored log. */
export const mutateStoredLog = (stored: MutableStoredLog, effect: PersistEffect): MutableStoredLog => {
	switch (effect.kind) {
		case 'persistHardState': {
			stored.hardState = effect.hardState;
			return stored;
		}

		case 'persistEntries': {
			const first = effect.entries[0].index;
			const kept = Math.max(0, first - stored.snapshot.index - 1);
			stored.entries.length = Math.min(stored.entries.length, kept);
			stored.entries.push(...effect.entries);
			return stored;
		}

		default: {
			stored.snapshot = effect.snapshot;
			stored.entries = [...effect.entries];
			return stored;
		}
	}
};
