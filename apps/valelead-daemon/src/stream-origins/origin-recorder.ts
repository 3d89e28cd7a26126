import type {OriginRecord} from '@valelead/stream-origin';

/** Stores where streams began, so that every gateway can find out which upstreams may continue them. */
export type OriginRecorder = {
	readonly record: (record: OriginRecord) => void;
	/** Called when a stream is complete, so that nobody resumes it. */
	readonly forget: (key: string) => void;
};
