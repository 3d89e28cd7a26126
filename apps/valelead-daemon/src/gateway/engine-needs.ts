import type {UnitNeed} from '@valelead/residency';

/** What a gateway needs of one engine, by unit. */
export type EngineNeeds = ReadonlyMap<string, UnitNeed>;
