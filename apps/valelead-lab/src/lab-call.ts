import type {EngineRun} from '@valelead/emulator';
import type {CallerClass} from './caller-class.js';

/** One request of a caller, with all its tries. */
export type LabCall = {
	readonly callerClass: CallerClass;
	readonly run: Pick<EngineRun, 'model' | 'adapter' | 'ownTokens' | 'sharedTokens' | 'newTokens' | 'priority'>;
	/** When the first try was made, in virtual milliseconds. */
	readonly firstAt: number;
	tries: number;
};
