/** How the end of an answer's body is known. */
export const ANSWER_FRAMING = {
	/** It has none, whatever its head says. */
	Bodyless: 'bodyless',
	Length: 'length',
	Chunks: 'chunks',
	/** By the end of the connection alone. */
	Connection: 'connection',
} as const;
