import type {Buffer} from 'node:buffer';
import type {LogFile} from './log-file.js';

/** The file operations that the storage of a log needs, as `node:fs/promises` provides them. */
export type FileSystem = {
	readonly mkdir: (folder: string, options: {readonly recursive: true}) => Promise<unknown>;
	readonly open: (file: string, flags: string, mode?: number) => Promise<LogFile>;
	readonly readFile: (file: string) => Promise<Buffer>;
	readonly readdir: (folder: string) => Promise<string[]>;
	readonly rename: (from: string, to: string) => Promise<unknown>;
	readonly rm: (file: string, options: {readonly force: true}) => Promise<unknown>;
};
