/** One invalid value of a settings file. */
export type SettingsFault = {
	/** Property names and array indexes from the root, joined by dots. */
	readonly path: string;
	readonly found: string;
	readonly allowed: string;
};
