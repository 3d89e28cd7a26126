import type {Capacity} from '@valelead/residency';
import {type RouteTable, getModelProfiles} from '@valelead/routing';

/** Returns the memory, adapter slots and models of a service's engines; undefined if the routing configuration does not describe them. */
export const newCapacity = (table: RouteTable, service: string): Capacity | undefined => {
	const engine = table.services.get(service)?.engine;
	return engine && {
		weightMemory: engine.weightMemory,
		adapterSlots: engine.adapterSlots,
		models: getModelProfiles(engine),
	};
};
