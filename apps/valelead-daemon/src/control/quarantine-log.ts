import type {CommandResult, Intent, Proposal} from '@valelead/intent';

/** The part of a voter that the quarantine registry uses: the replicated log to which quarantine decisions are committed. */
export type QuarantineLog = {
	readonly node: {readonly term: number; readonly isCurrentLeader: boolean} | undefined;
	readonly machine: {
		readonly intent: Intent;
		readonly subscribe: (listener: () => void) => void;
	};
	readonly propose: (proposal: Proposal) => Promise<CommandResult>;
};
