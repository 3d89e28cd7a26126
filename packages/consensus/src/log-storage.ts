import type {PersistEffect} from './persist-effect.js';
import type {StoredLog} from './stored-log.js';

/** The disk of a voter. */
export type LogStorage = {
	/** What is stored, or undefined where nothing was ever stored. */
	readonly load: () => Promise<StoredLog | undefined>;
	/** Makes the first record of a new identity. */
	readonly create: (stored: StoredLog) => Promise<void>;
	/** Writes the effects and resolves when they are synced. */
	readonly persist: (effects: readonly PersistEffect[]) => Promise<void>;
	readonly close: () => Promise<void>;
};
