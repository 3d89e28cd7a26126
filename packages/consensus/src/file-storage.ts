import type {Buffer} from 'node:buffer';
import nodeFileSystem from 'node:fs/promises';
import path from 'node:path';
import {RESULT_CODE, ValeleadError} from '@valelead/common';
import {decodeFrames} from './decode-frames.js';
import {encodeFrame} from './encode-frame.js';
import {mutateStoredLog} from './mutate-stored-log.js';
import type {FileSystem} from './file-system.js';
import type {LogFile} from './log-file.js';
import type {LogStorage} from './log-storage.js';
import type {PersistEffect} from './persist-effect.js';
import type {MutableStoredLog} from './mutable-stored-log.js';
import type {StoredLog} from './stored-log.js';

/** File mode of the log: only the owner may read it, because it may contain keys of callers. */
const OWNER_ONLY_MODE = 0o600;

const FILE_PATTERN = /^log-(?<number>\d+)\.wal$/v;

const getFileName = (number: number): string => `log-${String(number).padStart(10, '0')}.wal`;

/**
 * Stores the log in one append-only file. A batch is one checksummed frame, which is synced before the batch counts as stored.
 * A snapshot starts a new file, which replaces the old one by an atomic rename.
 */
export class FileStorage implements LogStorage {
	readonly #folder: string;
	readonly #fileSystem: FileSystem;
	#number = 0;
	#handle: LogFile | undefined;
	#stored: MutableStoredLog | undefined;
	/** Number of bytes of the file that contain complete, synced frames. */
	#validLength = 0;
	/** True if a write failed, so that the file may contain a partial frame after the valid bytes. */
	#hasFailedWrite = false;

	constructor(folder: string, fileSystem: FileSystem = nodeFileSystem) {
		this.#folder = folder;
		this.#fileSystem = fileSystem;
	}

	async load(): Promise<StoredLog | undefined> {
		await this.#fileSystem.mkdir(this.#folder, {recursive: true});
		// An earlier process may have been killed between a rename and the sync of the folder. Unless the names are durable, a loss of power would take
		// everything that is stored under them from now on.
		await this.#syncFolder();
		const newest = await this.#getNewestNumber();
		if (newest === undefined) {
			return undefined;
		}

		this.#number = newest;
		const file = path.join(this.#folder, getFileName(newest));
		const {records, validLength} = decodeFrames(await this.#fileSystem.readFile(file));
		const first = records[0]?.[0] as StoredLog | undefined;
		if (!first) {
			throw new ValeleadError(`${file} has no complete first record`, {code: RESULT_CODE.CorruptLog});
		}

		const stored = {...first, entries: [...first.entries]};
		for (const effects of records.slice(1)) {
			for (const effect of effects as PersistEffect[]) {
				mutateStoredLog(stored, effect);
			}
		}

		this.#handle = await this.#fileSystem.open(file, 'r+');
		await this.#handle.truncate(validLength);
		await this.#handle.sync();
		await this.#reopen(file);
		this.#validLength = validLength;
		this.#stored = stored;
		return {...stored, entries: [...stored.entries]};
	}

	async create(stored: StoredLog): Promise<void> {
		await this.#fileSystem.mkdir(this.#folder, {recursive: true});
		await this.#startFile({...stored, entries: [...stored.entries]});
	}

	async persist(effects: readonly PersistEffect[]): Promise<void> {
		const stored = this.#stored!;
		for (const effect of effects) {
			mutateStoredLog(stored, effect);
		}

		if (effects.some(effect => effect.kind === 'persistSnapshot')) {
			await this.#startFile(stored);
			return;
		}

		await this.#append(encodeFrame(effects));
	}

	async close(): Promise<void> {
		await this.#handle?.close();
		this.#handle = undefined;
	}

	/** Appends a frame. The remains of a failed write are truncated first, so that a batch can be retried. */
	async #append(frame: Buffer): Promise<void> {
		const handle = this.#handle!;
		if (this.#hasFailedWrite) {
			await handle.truncate(this.#validLength);
		}

		this.#hasFailedWrite = true;
		await handle.appendFile(frame);
		await handle.datasync();
		this.#hasFailedWrite = false;
		this.#validLength += frame.length;
	}

	async #startFile(stored: MutableStoredLog): Promise<void> {
		const previous = this.#number;
		const file = path.join(this.#folder, getFileName(previous + 1));
		const temporary = `${file}.tmp`;
		const frame = encodeFrame([stored]);
		await this.#writeNew(temporary, frame);
		await this.#fileSystem.rename(temporary, file);
		await this.#syncFolder();
		this.#number = previous + 1;
		this.#stored = stored;
		this.#validLength = frame.length;
		this.#hasFailedWrite = false;
		await this.#reopen(file);
		await this.#fileSystem.rm(path.join(this.#folder, getFileName(previous)), {force: true});
	}

	async #writeNew(file: string, frame: Buffer): Promise<void> {
		const handle = await this.#fileSystem.open(file, 'w', OWNER_ONLY_MODE);
		try {
			await handle.writeFile(frame);
			await handle.sync();
		} finally {
			await handle.close();
		}
	}

	async #syncFolder(): Promise<void> {
		const handle = await this.#fileSystem.open(this.#folder, 'r');
		try {
			await handle.sync();
		} finally {
			await handle.close();
		}
	}

	async #reopen(file: string): Promise<void> {
		await this.#handle?.close();
		this.#handle = await this.#fileSystem.open(file, 'a');
	}

	async #getNewestNumber(): Promise<number | undefined> {
		const names = await this.#fileSystem.readdir(this.#folder);
		const numbers = names
			.map(name => FILE_PATTERN.exec(name)?.groups?.number)
			.filter(number => number !== undefined)
			.map(Number);
		return numbers.length === 0 ? undefined : Math.max(...numbers);
	}
}
