import type {Prompt} from '@valelead/admission';

/** The platform-specific fields in the head of a caller's request. */
export type CallerRequest = {
	/** The id that the caller gave this attempt; empty if it sent none. */
	readonly id: string;
	/** How long the caller waits for the response, in milliseconds; undefined if the request does not say. */
	readonly deadlineMs: number | undefined;
	/** The requested model; empty for services without models. */
	readonly model: string;
	/** The requested adapter of the model; empty if the request is for the base model. */
	readonly adapter: string;
	/** The number of tokens in the prompt, and the maximum number of tokens to generate; 0 if the request does not say. */
	readonly promptTokens: number;
	readonly maxNewTokens: number;
	/** The size and the segments of the prompt; absent if the request states no valid token count. */
	readonly prompt?: Prompt | undefined;
	/** Ids of the prompt's segments that other prompts may share, in order and each once. */
	readonly sharedSegments: readonly string[];
	/** `hasTokenCount` is true if the request states a token count; `isTokenCountValid` is false only if a stated count cannot be parsed. */
	readonly hasTokenCount: boolean;
	readonly isTokenCountValid: boolean;
	/** The id of the last event that the caller has received of a stream which it resumes; empty if it states none. */
	readonly lastEventId: string;
	/** The id of the attempt that brought the first event of the stream which the caller resumes; empty if it states none. */
	readonly resumedRequestId: string;
	/** The API key of the caller's team; undefined if the request has none. It must never be logged. */
	readonly key: string | undefined;
};
