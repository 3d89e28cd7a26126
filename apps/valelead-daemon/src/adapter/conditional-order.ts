import type {EngineOrder} from '@valelead/residency';

/** An order to an engine with the conditions under which the engine may accept it. */
export type ConditionalOrder = {
	readonly order: EngineOrder;
	/** The id of the engine that the order is for, as the engine itself reports it. */
	readonly instanceId: string;
	/** The engine's order sequence when the order was decided; the engine rejects the order if its sequence has changed since. */
	readonly expectedSequence: number;
	readonly holder: string;
	readonly fence: number;
};
