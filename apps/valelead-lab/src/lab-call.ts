import type {RequestParameters} from '@valelead/emulator';
import type {CallerGroup} from './caller-group.js';

/** One request of a caller, with all its tries. */
export type LabCall = {
	readonly callerGroup: CallerGroup;
	readonly run: RequestParameters;
	/** When the first try was made, in virtual milliseconds. */
	readonly firstAt: number;
	/** What is asked, where calls ask the same; left out where each asks something of its own. */
	readonly url?: string;
	tries: number;
};
