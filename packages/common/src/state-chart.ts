/** A state chart as its JSON file holds it: for each state, the next state on each event. */
export type StateChart = {
	readonly name: string;
	readonly initial: string;
	readonly states: Readonly<Record<string, {readonly on: Readonly<Record<string, string>>}>>;
};
