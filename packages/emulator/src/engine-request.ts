import type {RequestParameters} from './request-parameters.js';

/** A request to an emulated engine, with its callbacks. No callback follows `onEnd`, `onReject` or the loss of the connection. */
export type EngineRequest = RequestParameters & {
	/** Called when the first token has been generated. */
	readonly onFirstToken: () => void;
	/** Called when an event of the response is sent. */
	readonly onEvent: () => void;
	/** Called when the response is complete. */
	readonly onEnd: () => void;
	/** Called if the request was not executed. `isMissing` is true if the engine is down or has not loaded the model or adapter. */
	readonly onReject: (isMissing: boolean) => void;
	/** Called when the connection is lost as the engine has crashed. */
	readonly onConnectionLost: () => void;
};
