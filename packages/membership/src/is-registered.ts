import type {Intent} from '@valelead/intent';
import type {VmReport} from './vm-report.js';

/** True if this run of the agent and of its upstream is registered in the log. */
export const isRegistered = (intent: Intent, report: VmReport): boolean => {
	const vm = intent.vms.get(report.vm);
	const isSameRun = vm?.incarnation === report.incarnation && vm.upstreamIncarnation === report.upstreamIncarnation;
	return isSameRun && vm.address === report.address && vm.memoryBytes === report.memoryBytes;
};
