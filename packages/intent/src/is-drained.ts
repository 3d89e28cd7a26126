import type {Intent} from './intent.js';

/** Whether a VM gets no new work, by itself or by its data centre. */
export const isDrained = (intent: Intent, vmName: string): boolean => {
	const vm = intent.vms.get(vmName);
	return vm !== undefined && (vm.isDrained || intent.drainedDataCentres.has(vm.dataCentre));
};
