/** How a program ended and what it printed. */
export type ProgramResult = {
	readonly status: number | null;
	readonly stdout: string;
	readonly stderr: string;
};
