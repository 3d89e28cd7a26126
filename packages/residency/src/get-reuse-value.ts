import type {PromptPart} from './prompt-part.js';

/**
 * Prompts whose shared parts take up a smaller share of an engine's memory go where the fewest requests are in progress. Reading 2% of the memory again
 * takes 75 to 120 ms or more; for smaller parts a longer queue costs more than the reading saves.
 */
const MIN_MEMORY_SHARE = 0.02;

/**
 * The number of prompt tokens whose reading weighs as much as one request in progress. Engines read 1,000 tokens in 26 to 52 ms, which is about what one
 * more request of 650 tokens with its responses takes from the others.
 */
const TOKENS_PER_REQUEST = 1000;

/** The upper bound of the value, in requests in progress, so that a long shared part does not outweigh any queue. */
const MAX_VALUE = 8;

/**
 * Returns what it is worth to send a request to the engine that has read the shared parts of its prompt, in requests in progress; 0 if they are small.
 * @param cacheTokens - The memory of an engine, in tokens.
 */
export const getReuseValue = (parts: readonly PromptPart[], cacheTokens: number): number => {
	const tokens = parts.reduce((sum, part) => sum + part.tokens, 0);
	const isLarge = cacheTokens > 0 && tokens >= cacheTokens * MIN_MEMORY_SHARE;
	return isLarge ? Math.min(MAX_VALUE, tokens / TOKENS_PER_REQUEST) : 0;
};
