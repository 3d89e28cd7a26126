import type {TimerService} from '@valelead/common';
import {type OriginEntry, type OriginRegister, VERSION_RETENTION_MS} from '@valelead/stream-origin';
import type {Logger} from 'pino';

type RegisterParts = {
	readonly voter: {readonly node: {readonly term: number; readonly canRead: boolean} | undefined};
	/** Returns what the replicated log has of the register. */
	readonly getRegister: () => OriginRegister;
	/** Returns the entries that apply now, by what this leader knows. */
	readonly getPresent: () => Iterable<OriginEntry>;
	/** Resolves once the change is committed and applied. */
	readonly change: (kind: 'add' | 'remove', entry: OriginEntry) => Promise<void>;
	readonly timers: TimerService;
	readonly logger: Logger;
};

/** Interval at which absent entries are looked for, in milliseconds. */
const CHECK_MS = 1000;

const getKey = ({name, value}: OriginEntry): string => `${name}\n${value}`;

/**
 * Keeps a register of where streams may have begun in the replicated log. An entry is added before a stream can begin there, and removed once this leader
 * has found it absent for `VERSION_RETENTION_MS`. Runs on the leader.
 */
export class RetainedRegister {
	readonly #parts: RegisterParts;
	#term = -1;
	/** Since when this leader has found an entry absent, in monotonic milliseconds, by key. */
	readonly #absentSince = new Map<string, number>();
	/** Entries whose removal has been proposed in this term. One of these that is needed again has to be added after its removal. */
	readonly #removing = new Set<string>();

	constructor(parts: RegisterParts) {
		this.#parts = parts;
	}

	start(): void {
		this.#parts.timers.repeat(CHECK_MS, now => {
			this.#removeAbsent(now);
		});
	}

	/** Resolves once the entry is in the register. */
	async add(entry: OriginEntry): Promise<void> {
		this.#checkTerm();
		const key = getKey(entry);
		this.#absentSince.delete(key);
		const {voter, getRegister, change} = this.#parts;
		const isRegistered = voter.node?.canRead === true && getRegister().get(entry.name)?.has(entry.value) === true;
		if (!isRegistered || this.#removing.has(key)) {
			await change('add', entry);
			this.#removing.delete(key);
		}
	}

	#removeAbsent(now: number): void {
		this.#checkTerm();
		const {voter, getRegister, getPresent} = this.#parts;
		const register = getRegister();
		if (!voter.node?.canRead || register.size === 0) {
			return;
		}

		const present = new Set([...getPresent()].map(entry => getKey(entry)));
		for (const [name, values] of register) {
			for (const value of values) {
				this.#check({name, value}, present, now);
			}
		}
	}

	#check(entry: OriginEntry, present: ReadonlySet<string>, now: number): void {
		const key = getKey(entry);
		if (present.has(key) || this.#removing.has(key)) {
			this.#absentSince.delete(key);
			return;
		}

		const since = this.#absentSince.get(key) ?? now;
		this.#absentSince.set(key, since);
		if (now - since > VERSION_RETENTION_MS) {
			this.#removing.add(key);
			void this.#remove(entry);
		}
	}

	async #remove(entry: OriginEntry): Promise<void> {
		try {
			await this.#parts.change('remove', entry);
		} catch (error) {
			this.#parts.logger.warn({event: 'decision-lost', reason: (error as Error).message}, 'removal from a register not committed');
		}
	}

	#checkTerm(): void {
		const term = this.#parts.voter.node?.term ?? 0;
		if (term !== this.#term) {
			this.#term = term;
			this.#absentSince.clear();
			this.#removing.clear();
		}
	}
}
