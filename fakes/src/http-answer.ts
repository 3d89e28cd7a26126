import type {IncomingHttpHeaders} from 'node:http';

/** A whole HTTP answer. */
export type HttpAnswer = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly text: string;
	/** Whether the answer came to its proper end. */
	readonly isComplete: boolean;
};
