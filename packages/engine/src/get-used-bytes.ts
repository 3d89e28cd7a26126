import {UNIT_STATE} from './unit-state.js';
import type {AgentState} from './agent-state.js';

/** Returns the memory, in bytes, that loaded units use or that outstanding orders may still make the engine use. */
export const getUsedBytes = (state: AgentState): number => {
	let bytes = 0;
	for (const unit of state.units.values()) {
		if (unit.state !== UNIT_STATE.Reserved && unit.state !== UNIT_STATE.Gone) {
			bytes += unit.memoryBytes;
		}
	}

	return bytes;
};
