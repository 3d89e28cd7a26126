import type {ClaimCommand} from './claim-command.js';
import type {RoutingReplacement} from './routing-replacement.js';
import type {Proposal} from './proposal.js';

/** The content of one command entry of the replicated log. `at` is the leader's wall-clock time in Unix milliseconds. */
export type ControlRecord =
	| {readonly kind: 'proposal'; readonly at: number; readonly proposal: Proposal}
	| {readonly kind: 'claims'; readonly at: number; readonly commands: readonly ClaimCommand[]}
	| RoutingReplacement;
