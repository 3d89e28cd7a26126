import type {Command, Intent} from '@valelead/intent';
import {isRegistered} from './is-registered.js';
import type {VmReport} from './vm-report.js';

/**
 * Returns the command that a report requires, if any: the registration of a new run of the agent or its upstream, or the release of replicas that
 * are proved to be unloaded.
 */
export const getReportCommand = (intent: Intent, report: VmReport): Command | undefined => {
	if (!isRegistered(intent, report)) {
		return {
			kind: 'registerVm',
			name: report.vm,
			dataCentre: report.dataCentre,
			address: report.address,
			incarnation: report.incarnation,
			upstreamIncarnation: report.upstreamIncarnation,
			memoryBytes: report.memoryBytes,
			service: report.service,
		};
	}

	const grantIds = report.released.filter(grantId => intent.grants.has(grantId));
	if (grantIds.length === 0) {
		return undefined;
	}

	return {
		kind: 'release', vm: report.vm, incarnation: report.incarnation, grantIds,
	};
};
