import type {Buffer} from 'node:buffer';

/** The bytes up to the end of the last event that a chunk completed, and the id of the last event among them that has one. */
export type CompleteEvents = {
	readonly bytes: Buffer;
	/** False if these bytes hold nothing but comments and empty lines. */
	readonly hasEvents: boolean;
	/** Undefined if none of these events has an id. */
	readonly lastEventId: string | undefined;
};
