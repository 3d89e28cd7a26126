import type {EngineOrder} from '@valelead/residency';

/** An order with the terms under which the engine may take it. */
export type OrderTerms = {
	readonly order: EngineOrder;
	/** The engine that is meant, by what it calls itself. */
	readonly instanceId: string;
	/** The engine's order sequence at the decision; a changed one voids the order. */
	readonly expectedSequence: number;
	readonly holder: string;
	readonly fence: number;
};
