/** Command-line options that all actions share. */
export type CommonOptions = {
	/** Addresses of the voters, separated by commas. */
	readonly control: string;
	readonly keyFile: string;
	readonly output: 'table' | 'json';
	/** Time to wait for the leader, in milliseconds. */
	readonly timeout: number;
	readonly certificateFile?: string;
	readonly certificateKeyFile?: string;
	readonly authorityFile?: string;
};
