import type {Buffer} from 'node:buffer';
import type {Refusal} from './refusal.js';

/** Where an answer goes, part by part. */
export type AnswerSink = {
	/** Whether parts reach the caller before the answer is whole. */
	readonly isStream: boolean;
	readonly start: (status: number, contentType: string) => void;
	readonly data: (chunk: Buffer) => void;
	readonly end: () => void;
	readonly refuse: (refusal: Refusal) => void;
};
