/** One request at an engine, with what it calls back. After `onEnd` or `onReject` nothing more comes. */
export type EngineRun = {
	readonly model: string;
	readonly adapter: string;
	/** Tokens of the prompt that belong to this request alone. */
	readonly ownTokens: number;
	/** Tokens of the prompt that all requests of the model share. */
	readonly sharedTokens: number;
	readonly newTokens: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly onEvent: () => void;
	readonly onEnd: () => void;
	/** It was not run. `isMissing` tells that the engine does not hold what it asks for. */
	readonly onReject: (isMissing: boolean) => void;
};
