import type {Settings} from './settings/settings.js';

/** A running part of a daemon. */
export type Stoppable = {
	/** Ends the part without cutting off what is in progress, as far as the stop limit allows. */
	readonly stop: () => Promise<void>;
	/** Ends at once; what is in progress gets an honest answer. */
	readonly stopNow: () => void;
	/** Takes from changed settings what takes effect without a new start. */
	readonly reload?: (settings: Settings) => void;
};
