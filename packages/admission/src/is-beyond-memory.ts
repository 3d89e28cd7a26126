import type {Prompt} from './prompt.js';

/**
 * True if an engine cannot hold a request even when it is empty. The response counts with the maximum that the request states and not with its length
 * hint, which is often far off: an engine crashes if the requests that it holds outgrow its memory.
 * @param capacityTokens - The memory of an engine, in tokens; 0 if it is not known.
 */
export const isBeyondMemory = ({promptTokens, maxNewTokens}: Prompt, capacityTokens: number): boolean => capacityTokens > 0 && promptTokens + maxNewTokens > capacityTokens;
