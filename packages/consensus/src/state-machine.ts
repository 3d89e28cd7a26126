/** What the log drives. */
export type StateMachine = {
	readonly apply: (index: number, data: string) => void;
	readonly restore: (index: number, data: string) => void;
	readonly save: () => string;
};
