import type {RunTerms} from './run-terms.js';

/** One request at an engine, with what it calls back. After `onEnd` or `onReject` nothing more comes. */
export type EngineRun = RunTerms & {
	readonly onEvent: () => void;
	readonly onEnd: () => void;
	/** It was not run. `isMissing` tells that the engine does not hold what it asks for. */
	readonly onReject: (isMissing: boolean) => void;
};
