/** What an installation on loopback consists of. */
export type InstallationOptions = {
	readonly folder: string;
	readonly entries?: number;
	readonly engines?: number;
	readonly services?: number;
	/** Options of every engine program. */
	readonly engineArguments?: readonly string[];
	readonly serviceArguments?: readonly string[];
	readonly storeArguments?: readonly string[];
	/** Settings that replace the defaults, by role. */
	readonly entrySettings?: Readonly<Record<string, unknown>>;
	readonly voterSettings?: Readonly<Record<string, unknown>>;
	readonly agentSettings?: Readonly<Record<string, unknown>>;
};
