import type {OriginRegister, VersionChange} from '@valelead/stream-origin';

/** The part of a voter that keeps the software versions in the replicated log. */
export type VersionLog = {
	readonly node: {readonly term: number; readonly canRead: boolean} | undefined;
	readonly machine: {readonly versions: OriginRegister};
	/** Resolves once the change is committed and applied. */
	readonly changeVersions: (change: VersionChange) => Promise<void>;
};
