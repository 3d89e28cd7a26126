import {type AdmissionEndpoint, getServiceTarget} from '@valelead/admission';
import type {Endpoint} from '@valelead/protocol';

/** Groups endpoints by the targets that they can currently serve. */
export const newEndpointIndex = (endpoints: Iterable<Endpoint>): Map<string, AdmissionEndpoint[]> => {
	const index = new Map<string, AdmissionEndpoint[]>();
	for (const {vm, dataCentre, ready, service, isClosed} of endpoints) {
		const targets = service === '' ? ready : [getServiceTarget(service)];
		for (const target of isClosed ? [] : targets) {
			const known = index.get(target) ?? [];
			known.push({vm, dataCentre});
			index.set(target, known);
		}
	}

	return index;
};
