import assert from 'node:assert/strict';
import type {DiskMutation} from './disk-mutation.js';
import {FakeFileSystem} from './fake-file-system.js';
import type {LogEnd} from './log-end.js';
import type {LogStep} from './log-step.js';
import {
	type LogEntry, type PersistEffect, type StoredLog, FileStorage, mutateStoredLog,
} from '@valelead/consensus';

const FOLDER = 'data';

/** A write that the disk refuses is tried again, and only one operation of it is refused. */
const MAX_ATTEMPTS = 2;

const newEmptyLog = (): StoredLog => ({
	id: 'id',
	vm: 'vm',
	hardState: {term: 1, votedFor: undefined},
	snapshot: {
		index: 0, term: 0, voters: [], data: '',
	},
	entries: [],
});

const getText = (stored: StoredLog | undefined): string => JSON.stringify(stored) ?? 'nothing';

/** Writes to a log on a simulated disk and checks after each end of the process that everything that counted as stored is read back. */
export class LogHistory {
	readonly #fileSystem: FakeFileSystem;
	#storage: FileStorage;
	/** What counts as stored; undefined before the log was created. */
	#stored: StoredLog | undefined;
	/** What is stored if the write that was interrupted has taken effect. */
	#interrupted: StoredLog | undefined;
	#written = 0;

	constructor(random: () => number, mutation: DiskMutation) {
		this.#fileSystem = new FakeFileSystem(random, mutation);
		this.#storage = new FileStorage(FOLDER, this.#fileSystem);
	}

	async run({killAfter, refuseAfter, ends, ...step}: LogStep): Promise<void> {
		this.#fileSystem.restart();
		if (killAfter !== undefined) {
			this.#fileSystem.killAfter(killAfter);
		}

		if (refuseAfter !== undefined) {
			this.#fileSystem.refuseAfter(refuseAfter);
		}

		await this.#write(step);
		for (const end of ends) {
			await this.#restart(end);
		}

		if (ends.length > 0 || this.#fileSystem.isKilled) {
			await this.#restart({isPowerLost: false, killAfter: undefined});
		}
	}

	async #write(step: Pick<LogStep, 'write' | 'replaced'>): Promise<void> {
		const effects = this.#stored ? [this.#newEffect(step, this.#stored)] : [];
		const next = {...this.#stored ?? newEmptyLog(), entries: [...this.#stored?.entries ?? []]};
		for (const effect of effects) {
			mutateStoredLog(next, effect);
		}

		this.#interrupted = next;
		for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
			try {
				await (this.#stored ? this.#storage.persist(effects) : this.#storage.create(next));
				this.#stored = next;
				this.#interrupted = undefined;
				return;
			} catch (error) {
				if (!this.#fileSystem.isKilled && attempt > 0) {
					throw error;
				}
			}
		}
	}

	/** Ends the process and, if the next one is not killed before, reads the log. */
	async #restart({isPowerLost, killAfter}: LogEnd): Promise<void> {
		this.#fileSystem.restart();
		if (isPowerLost) {
			this.#fileSystem.losePower();
		}

		if (killAfter !== undefined) {
			this.#fileSystem.killAfter(killAfter);
		}

		this.#storage = new FileStorage(FOLDER, this.#fileSystem);
		let loaded: StoredLog | undefined;
		try {
			loaded = await this.#storage.load();
		} catch (error) {
			assert.ok(this.#fileSystem.isKilled, `the log cannot be read: ${String(error)}`);
			return;
		}

		const possible = [getText(this.#stored), ...this.#interrupted ? [getText(this.#interrupted)] : []];
		assert.ok(possible.includes(getText(loaded)), `stored ${possible.join(' or ')}, read ${getText(loaded)}`);
		this.#stored = loaded;
		this.#interrupted = undefined;
	}

	#newEffect({write, replaced}: Pick<LogStep, 'write' | 'replaced'>, {snapshot, entries, hardState}: StoredLog): PersistEffect {
		this.#written += 1;
		const last = entries.at(-1) ?? snapshot;
		switch (write) {
			case 'vote': {
				return {kind: 'persistHardState', hardState: {term: hardState.term + 1, votedFor: `voter ${this.#written}`}};
			}

			case 'snapshot': {
				return {
					kind: 'persistSnapshot',
					snapshot: {
						index: last.index, term: last.term, voters: [], data: `state ${this.#written}`,
					},
					entries: [],
				};
			}

			default: {
				const entry: LogEntry = {
					index: last.index + 1 - Math.min(replaced, entries.length), term: hardState.term, kind: 'command', data: `command ${this.#written}`,
				};
				return {kind: 'persistEntries', entries: [entry]};
			}
		}
	}
}
