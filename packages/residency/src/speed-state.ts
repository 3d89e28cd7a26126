import type {SpeedWindow} from './speed-window.js';

/** What an engine's manager keeps of the samples of all gateways. */
export type SpeedState = {
	/** A window that shows a slow-down. */
	readonly recent: SpeedWindow;
	/** A window that shows the permanent speed of the engine. */
	readonly permanent: SpeedWindow;
};
