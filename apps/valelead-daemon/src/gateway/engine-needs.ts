import type {UnitNeed} from '@valelead/residency';

/** The units that a gateway needs on one engine, by unit name. */
export type EngineNeeds = ReadonlyMap<string, UnitNeed>;
