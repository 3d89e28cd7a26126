import type {LOG_ENTRY_KIND} from './log-entry-kind.js';

/** One entry of the replicated log. */
export type LogEntry = {
	readonly index: number;
	readonly term: number;
	readonly kind: (typeof LOG_ENTRY_KIND)[keyof typeof LOG_ENTRY_KIND];
	/** A command, or the voters of a configuration, as JSON; empty for an entry without content. */
	readonly data: string;
};
