import type {VirtualProcess} from '../../../tests/support/virtual-process.js';
import type {OriginStore} from 'valelead-daemon';

/** A voter that stores origins; each start begins with an empty store. */
export type SimulatedHolder = {
	readonly process: VirtualProcess;
	store: OriginStore;
};
