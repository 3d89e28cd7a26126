import type {Buffer} from 'node:buffer';

/** An open file or folder, with the operations that the storage of a log needs. Each rejects with the error of the operating system. */
export type LogFile = {
	readonly appendFile: (bytes: Buffer) => Promise<unknown>;
	readonly writeFile: (bytes: Buffer) => Promise<unknown>;
	/** @param length - New length of the file, in bytes. */
	readonly truncate: (length: number) => Promise<unknown>;
	readonly sync: () => Promise<unknown>;
	readonly datasync: () => Promise<unknown>;
	readonly close: () => Promise<unknown>;
};
