import type {Upstream} from '@valelead/discovery';
import type {RouteChange, VersionChange} from '@valelead/stream-origin';
import type {ClaimCommand} from './claim-command.js';
import type {RoutingReplacement} from './routing-replacement.js';
import type {Proposal} from './proposal.js';

/**
 * The content of one command entry of the replicated log. `at` is the leader's wall-clock time in Unix milliseconds. A change of the software versions, of
 * the services of routes or of the number of gateways, and the withdrawal of an upstream, are carried by an entry without claim commands, because voters of an earlier build
 * would stop at an entry of an unknown kind.
 */
export type ControlRecord =
	| {readonly kind: 'proposal'; readonly at: number; readonly proposal: Proposal}
	| {
		readonly kind: 'claims';
		readonly at: number;
		readonly commands: readonly ClaimCommand[];
		readonly versionChange?: VersionChange;
		readonly routeChange?: RouteChange;
		readonly gatewayCount?: number;
		/** A run that has declared that it is draining or has departed. */
		readonly withdrawal?: Upstream;
	}
	| RoutingReplacement;
