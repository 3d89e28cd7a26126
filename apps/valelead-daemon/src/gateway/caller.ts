import type {Team} from '@valelead/routing';

/** The sender of a request, as identified by its API key. */
export type Caller = {
	/** Undefined if the routing defines no teams, or if the route is open and no team was identified. */
	readonly team: Team | undefined;
	/** Priority of the request; 0 is the most urgent. */
	readonly rank: number;
	/** Units that the request uses of the team's quota; 0 if the team has no quota. */
	readonly cost: number;
};
