/** A change of the register of software versions. */
export type VersionChange = {
	readonly kind: 'add' | 'remove';
	readonly service: string;
	/** The version of an upstream's software; empty if unknown. */
	readonly softwareVersion: string;
};
