import type {PromptSegment} from './prompt-segment.js';

/** The size of a request to a model, as its caller states it. */
export type Prompt = {
	readonly promptTokens: number;
	/** The maximum number of tokens to generate. */
	readonly maxNewTokens: number;
	/** The caller's estimate of the tokens to generate; undefined if it states none. It is right in the median but often far off. */
	readonly expectedNewTokens: number | undefined;
	/** The leading segments of the prompt, which other prompts may share, in order. */
	readonly sharedSegments: readonly PromptSegment[];
	/** The last segment, which belongs to the request or its session; undefined if the prompt names no segments. */
	readonly ownSegment: PromptSegment | undefined;
};
