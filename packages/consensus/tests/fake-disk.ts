import {
	type PersistEffect, type StoredLog, mutateStoredLog,
} from '@valelead/consensus';

/** A simulated disk that loses all unsynced writes when its voter crashes. */
export class FakeDisk {
	#synced: StoredLog;

	constructor(stored: StoredLog) {
		this.#synced = stored;
	}

	sync(effects: readonly PersistEffect[]): void {
		const copy = {...this.#synced, entries: [...this.#synced.entries]};
		for (const effect of effects) {
			mutateStoredLog(copy, effect);
		}

		this.#synced = copy;
	}

	load(): StoredLog {
		return {...this.#synced, entries: [...this.#synced.entries]};
	}
}
