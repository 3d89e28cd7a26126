import type {EngineStatus} from '../adapter/engine-status.js';

/** An engine's state, with its own id where it told it, or empty. */
export type StatusReply = {
	readonly status: EngineStatus;
	readonly instanceId: string;
};
