/** Options of every action. */
export type CommonOptions = {
	/** Addresses of the voters, separated by commas. */
	readonly control: string;
	readonly keyFile: string;
	readonly output: 'table' | 'json';
	/** Milliseconds. */
	readonly timeout: number;
	readonly certificateFile?: string;
	readonly certificateKeyFile?: string;
	readonly authorityFile?: string;
};
