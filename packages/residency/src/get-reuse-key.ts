import type {PromptPart} from './prompt-part.js';

/** Share of the shared tokens that the key covers at least. A short part at the end, such as a tool list, then does not divide prompts that share the rest. */
const MIN_KEY_SHARE = 0.5;

/**
 * Returns the key by which prompts that share most of their tokens are sent to the same engine: the model and the leading parts that hold at least half
 * of the shared tokens.
 * @param target - The name of the model or adapter, as an engine keeps parts for each of them separately.
 */
export const getReuseKey = (target: string, parts: readonly PromptPart[]): string => {
	const tokens = parts.reduce((sum, part) => sum + part.tokens, 0);
	const ids: string[] = [];
	let covered = 0;
	for (const part of parts) {
		if (covered >= tokens * MIN_KEY_SHARE) {
			break;
		}

		ids.push(part.id);
		covered += part.tokens;
	}

	return [target, ...ids].join(' ');
};
