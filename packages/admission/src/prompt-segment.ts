/** A part of a prompt. An engine that keeps a segment, and all segments before it, does not process their tokens again. */
export type PromptSegment = {
	readonly id: string;
	readonly tokens: number;
};
