import type {Intent} from './intent.js';

/** Memory of a VM that grants commit, in bytes. */
export const getCommittedBytes = (intent: Intent, vm: string): number => {
	let bytes = 0;
	for (const grantId of intent.grantsByVm.get(vm) ?? []) {
		bytes += intent.grants.get(grantId)?.memoryBytes ?? 0;
	}

	return bytes;
};
