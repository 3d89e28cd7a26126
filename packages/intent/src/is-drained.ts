import type {Intent} from './intent.js';

/** Returns true if a VM gets no new work because the VM itself or its data centre is drained. */
export const isDrained = (intent: Intent, vmName: string): boolean => {
	const vm = intent.vms.get(vmName);
	return vm !== undefined && (vm.isDrained || intent.drainedDataCentres.has(vm.dataCentre));
};
