/** A kind of change: what it says, what it takes, and the command that it becomes. */
export type StatementKind = {
	readonly verb: string;
	readonly object: string;
	/** The object that the named one belongs to, empty where it stands alone. */
	readonly owner: string;
	readonly attributes: readonly string[];
	/** The command without checks of its values; the command schema checks them. */
	readonly perform: (words: StatementWords) => Readonly<Record<string, unknown>>;
};

/** The words of a change after its attributes are parsed. */
type StatementWords = {
	readonly name: string;
	readonly owner: string;
	readonly fields: Readonly<Record<string, unknown>>;
};
