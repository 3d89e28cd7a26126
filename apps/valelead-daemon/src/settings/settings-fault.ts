/** One fault of a settings file. */
export type SettingsFault = {
	/** Names and positions from the top, joined by dots. */
	readonly path: string;
	readonly found: string;
	readonly allowed: string;
};
