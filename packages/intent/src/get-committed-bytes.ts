import type {Intent} from './intent.js';

/** Returns the memory of a VM that its grants reserve, in bytes. */
export const getCommittedBytes = (intent: Intent, vm: string): number => {
	let bytes = 0;
	for (const grantId of intent.grantsByVm.get(vm) ?? []) {
		bytes += intent.grants.get(grantId)?.memoryBytes ?? 0;
	}

	return bytes;
};
