import type {EngineStatus} from '../adapter/engine-status.js';

/** The response to a status request: the engine's status, and its id, which is empty if the response has none. */
export type StatusReply = {
	readonly status: EngineStatus;
	readonly instanceId: string;
};
