import type {Settings} from './settings/settings.js';

/** A running daemon, or a part of one, that can be stopped. */
export type Stoppable = {
	/** Stops gracefully. Requests in progress may finish until the stop limit is reached. */
	readonly stop: () => Promise<void>;
	/** Stops immediately. Requests in progress get an error response that states their outcome as far as it is known. */
	readonly stopNow: () => void;
	/** Applies those of the changed settings that take effect without a restart. */
	readonly reload?: (settings: Settings) => void;
};
