/** A part of a prompt that other prompts may share. */
export type PromptPart = {
	readonly id: string;
	readonly tokens: number;
};
