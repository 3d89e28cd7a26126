import type {PersistEffect} from './persist-effect.js';
import type {StoredLog} from './stored-log.js';

/** The durable storage of one voter. */
export type LogStorage = {
	/** Resolves with the stored log, or with undefined if nothing has been stored yet. */
	readonly load: () => Promise<StoredLog | undefined>;
	/** Writes the first record of a new voter identity. */
	readonly create: (stored: StoredLog) => Promise<void>;
	/** Writes the effects and resolves once they are synced. */
	readonly persist: (effects: readonly PersistEffect[]) => Promise<void>;
	readonly close: () => Promise<void>;
};
