/** A state chart in the format of its JSON file: each state maps events to the next state. */
export type StateChart = {
	readonly name: string;
	readonly initial: string;
	readonly states: Readonly<Record<string, {readonly on: Readonly<Record<string, string>>}>>;
};
