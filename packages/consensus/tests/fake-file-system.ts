import type {Buffer} from 'node:buffer';
import path from 'node:path';
import type {DiskMutation} from './disk-mutation.js';
import {FakeInode} from './fake-inode.js';
import type {FileSystem, LogFile} from '@valelead/consensus';

/** A change of a name that its folder's sync has not made durable yet. */
type NameChange = {
	readonly name: string;
	/** Undefined if the name was removed. */
	readonly inode: FakeInode | undefined;
	/** True if the name was made with the file, whose own sync makes it durable too. */
	readonly isNew: boolean;
};

const mutateNames = (names: Map<string, FakeInode>, {name, inode}: NameChange): void => {
	if (inode) {
		names.set(name, inode);
	} else {
		names.delete(name);
	}
};

/** One folder on a simulated disk whose process can be killed at any operation, and which loses what was not synced when it loses power. */
export class FakeFileSystem implements FileSystem {
	readonly #random: () => number;
	readonly #mutation: DiskMutation;
	readonly #wait: () => Promise<void>;
	#names = new Map<string, FakeInode>();
	#syncedNames = new Map<string, FakeInode>();
	#nameChanges: NameChange[] = [];
	#operationsToKill = Number.POSITIVE_INFINITY;
	#operationsToRefusal = Number.POSITIVE_INFINITY;

	/** Number of the process that uses the disk; nothing that an earlier one has begun is executed any more. */
	#run = 0;

	/** @param wait - Resolves when an operation is executed that was begun now. */
	constructor(random: () => number, mutation: DiskMutation, wait = async (): Promise<void> => undefined) {
		this.#random = random;
		this.#mutation = mutation;
		this.#wait = wait;
	}

	get isKilled(): boolean {
		return this.#operationsToKill <= 0;
	}

	/** Kills the process at an operation, which takes effect or not. The disk goes on as it is, until it loses power. */
	killAfter(operations: number): void {
		this.#operationsToKill = operations;
	}

	/** Makes the disk refuse one operation, of which a part may take effect. */
	refuseAfter(operations: number): void {
		this.#operationsToRefusal = operations;
	}

	restart(): void {
		this.#run += 1;
		this.#operationsToKill = Number.POSITIVE_INFINITY;
		this.#operationsToRefusal = Number.POSITIVE_INFINITY;
	}

	/** Keeps what was synced. Each later change of a name or a file is kept, lost or torn independently of the others, or all of them are lost. */
	losePower(): void {
		const isAllLost = this.#random() < 0.25;
		for (const change of this.#nameChanges) {
			if (!isAllLost && this.#random() < 0.5) {
				mutateNames(this.#syncedNames, change);
			}
		}

		this.#nameChanges = [];
		this.#names = new Map(this.#syncedNames);
		for (const inode of new Set(this.#names.values())) {
			inode.losePower(this.#random, isAllLost);
		}
	}

	async mkdir(): Promise<void> {
		await this.#execute(() => undefined);
	}

	async readdir(): Promise<string[]> {
		return this.#execute(() => [...this.#names.keys()]);
	}

	async readFile(file: string): Promise<Buffer> {
		return this.#execute(() => this.#names.get(path.basename(file))!.content);
	}

	async rename(from: string, to: string): Promise<void> {
		await this.#execute(() => {
			const inode = this.#names.get(path.basename(from));
			this.#changeName({name: path.basename(to), inode, isNew: false});
			this.#changeName({name: path.basename(from), inode: undefined, isNew: false});
		});
	}

	async rm(file: string): Promise<void> {
		await this.#execute(() => {
			if (this.#names.has(path.basename(file))) {
				this.#changeName({name: path.basename(file), inode: undefined, isNew: false});
			}
		});
	}

	async open(file: string, flags: string): Promise<LogFile> {
		const name = path.basename(file);
		if (flags === 'r') {
			return this.#newHandle(undefined);
		}

		return this.#execute(() => {
			const found = this.#names.get(name);
			const inode = found ?? new FakeInode();
			if (!found) {
				this.#changeName({name, inode, isNew: true});
			} else if (flags === 'w') {
				inode.truncate(0);
			}

			return this.#newHandle(inode);
		});
	}

	/** Returns a handle of a file, or of the folder if no file is given. */
	#newHandle(inode: FakeInode | undefined): LogFile {
		const append = async (bytes: Buffer): Promise<void> => {
			await this.#execute(() => {
				inode!.append(bytes);
			}, () => {
				inode!.append(bytes.subarray(0, Math.floor(this.#random() * bytes.length)));
			});
		};

		const sync = async (): Promise<void> => {
			await this.#execute(() => {
				if (inode) {
					this.#syncFile(inode);
				} else {
					this.#syncFolder();
				}
			}, () => undefined);
		};

		return {
			appendFile: append,
			writeFile: append,
			truncate: async length => {
				await this.#execute(() => {
					inode!.truncate(length);
				});
			},
			sync,
			datasync: sync,
			close: async () => undefined,
		};
	}

	#syncFile(inode: FakeInode): void {
		if (this.#mutation === 'file sync') {
			return;
		}

		inode.sync();
		for (const change of this.#nameChanges.filter(({isNew}) => isNew)) {
			if (change.inode === inode) {
				mutateNames(this.#syncedNames, change);
			}
		}

		this.#nameChanges = this.#nameChanges.filter(change => !change.isNew || change.inode !== inode);
	}

	#syncFolder(): void {
		if (this.#mutation === 'folder sync') {
			return;
		}

		this.#syncedNames = new Map(this.#names);
		this.#nameChanges = [];
	}

	#changeName(change: NameChange): void {
		mutateNames(this.#names, change);
		this.#nameChanges.push(change);
	}

	/**
	 * Executes an operation, unless the process is killed or the disk refuses it.
	 * @param executePartly - What a refused or interrupted operation may do; all of it if left out.
	 */
	async #execute<Value>(execute: () => Value, executePartly: () => unknown = execute): Promise<Value> {
		const run = this.#run;
		await this.#wait();
		if (this.isKilled || run !== this.#run) {
			throw new Error('the process has been killed');
		}

		this.#operationsToKill -= 1;
		this.#operationsToRefusal -= 1;
		if (!this.isKilled && this.#operationsToRefusal !== 0) {
			return execute();
		}

		const draw = this.#random();
		if (draw < 1 / 3) {
			execute();
		} else if (draw < 2 / 3) {
			executePartly();
		}

		throw new Error(this.isKilled ? 'the process has been killed' : 'the disk refuses the operation');
	}
}
