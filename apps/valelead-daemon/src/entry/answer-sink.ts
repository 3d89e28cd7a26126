import type {Buffer} from 'node:buffer';
import type {Refusal} from './refusal.js';

/** Where an answer goes, part by part. */
export type AnswerSink = {
	/** Whether parts reach the caller before the answer is whole. */
	readonly isStream: boolean;
	readonly start: (status: number, contentType: string) => void;
	/** Returns false if the caller should be waited for. */
	readonly data: (chunk: Buffer) => boolean;
	/** Resolves when the caller can take more, or is gone. */
	readonly drained: () => Promise<void>;
	readonly end: () => void;
	readonly refuse: (refusal: Refusal) => void;
};
