import type {OriginRecord} from './origin-record.js';

/** The origins of recent streams, by key, in the order in which they were recorded. */
export type OriginTable = {
	/** Undefined for a key that was recorded with two origins that do not fit together, so that it identifies none. */
	readonly records: Map<string, {readonly record: OriginRecord | undefined; readonly expiresAt: number}>;
};
