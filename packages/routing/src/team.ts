import type {TeamKeys} from '@valelead/access';
import type {Quota} from '@valelead/quota';

/** A team: callers that share API keys, a priority and a quota. */
export type Team = TeamKeys & {
	/** The priority of the team's requests; 0 is the most urgent. It takes precedence over the priority of the route. */
	readonly priority: number;
	/** The team's quota; undefined if its requests are not limited. */
	readonly quota: Quota | undefined;
};
