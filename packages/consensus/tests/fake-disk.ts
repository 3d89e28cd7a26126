import {
	type PersistEffect, type StoredLog, mutateStoredLog,
} from '@valelead/consensus';

/** A disk that loses what was not synced when its voter crashes. */
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
