/** A type of statement that changes the configuration: its verb, its object, its attributes, and its conversion into a command. */
export type StatementKind = {
	readonly verb: string;
	readonly object: string;
	/** Type of the object that the changed object belongs to, such as `model` for adapters; empty if it belongs to none. */
	readonly owner: string;
	readonly attributes: readonly string[];
	/** Creates the command without validating its values; the command schema validates them afterwards. */
	readonly newCommand: (words: StatementWords) => Readonly<Record<string, unknown>>;
};

/** The names and command fields of a statement, after its attributes have been parsed. */
type StatementWords = {
	readonly name: string;
	readonly owner: string;
	readonly fields: Readonly<Record<string, unknown>>;
};
