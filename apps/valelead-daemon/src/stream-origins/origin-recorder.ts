import type {OriginRecord} from '@valelead/stream-origin';

/** Stores where streams began, so that every gateway can find out which upstreams may continue them. */
export type OriginRecorder = {
	/** @param onSent - Called once the record has been handed to the operating system, so that it outlives this process, or if nobody stores it. */
	readonly record: (record: OriginRecord, onSent: () => void) => void;
	/** Called when a stream is complete, so that nobody resumes it. */
	readonly forget: (key: string) => void;
};
