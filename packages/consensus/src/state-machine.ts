/** The state machine to which the committed commands of the log are applied. */
export type StateMachine = {
	readonly apply: (index: number, data: string) => void;
	readonly restore: (index: number, data: string) => void;
	readonly save: () => string;
};
