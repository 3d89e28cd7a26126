import type {Capacity} from '@valelead/residency';
import {type RouteTable, getModelProfiles} from '@valelead/routing';

/** What an engine of a service may hold; undefined where the routing does not describe it. */
export const newCapacity = (table: RouteTable, service: string): Capacity | undefined => {
	const engine = table.services.get(service)?.engine;
	return engine && {
		weightMemory: engine.weightMemory,
		adapterSlots: engine.adapterSlots,
		models: getModelProfiles(engine),
	};
};
