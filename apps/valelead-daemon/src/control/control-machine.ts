import {
	type Claims, type ClaimResult, type CommandResult, type ControlRecord, type Intent, decodeIntent, encodeIntent, mutateClaims, mutateIntent, newIntent,
} from '@valelead/intent';
import type {StateMachine} from '@valelead/consensus';
import type {StoredRouting} from './stored-routing.js';
import type {AppliedProposal} from './applied-proposal.js';

/** Applied proposals that followers can be sent in place of a whole state. */
const MAX_RECENT = 2000;

type SavedState = {
	readonly intent: string;
	readonly claims: ReadonlyArray<[string, never]>;
	readonly routing?: StoredRouting;
};

/** The state machine behind the log: the configuration and the claims. */
export class ControlMachine implements StateMachine {
	#intent: Intent = newIntent();
	#claims: Claims = new Map();
	#routing: StoredRouting | undefined;
	#firstRoutingIndex: number | undefined;
	#recent: AppliedProposal[] = [];
	readonly #results = new Map<number, CommandResult | readonly ClaimResult[]>();
	readonly #listeners: Array<() => void> = [];

	get intent(): Intent {
		return this.#intent;
	}

	get claims(): Claims {
		return this.#claims;
	}

	/** The routing in force, or undefined before the first. */
	get routing(): StoredRouting | undefined {
		return this.#routing;
	}

	/** The index of the entry that brought the first routing of all; undefined before it, and where it came with a saved state. */
	get firstRoutingIndex(): number | undefined {
		return this.#firstRoutingIndex;
	}

	/** Calls back after each change of the configuration. */
	subscribe(listener: () => void): void {
		this.#listeners.push(listener);
	}

	/** The result of the entry at an index; each can be taken once, right after it was applied. */
	takeResult(index: number): CommandResult | readonly ClaimResult[] | undefined {
		const result = this.#results.get(index);
		this.#results.delete(index);
		return result;
	}

	/** The proposals since a revision, or undefined where they are no longer held. */
	getProposalsSince(revision: number): readonly AppliedProposal[] | undefined {
		if (revision === this.#intent.revision) {
			return [];
		}

		const first = this.#recent.findIndex(applied => applied.revision === revision + 1);
		return first === -1 ? undefined : this.#recent.slice(first);
	}

	apply(index: number, data: string): void {
		const record = JSON.parse(data) as ControlRecord;
		if (record.kind === 'claims') {
			this.#keepResult(index, record.commands.map(command => mutateClaims(this.#claims, record.at, command)));
			return;
		}

		if (record.kind === 'routing') {
			this.#replaceRouting(index, {version: record.version, document: record.document});
			return;
		}

		const before = this.#intent.revision;
		const result = mutateIntent(this.#intent, record.proposal);
		this.#keepResult(index, result);
		if (this.#intent.revision !== before) {
			this.#recent.push({revision: this.#intent.revision, at: record.at, proposal: record.proposal});
			this.#recent = this.#recent.length > MAX_RECENT ? this.#recent.slice(-MAX_RECENT / 2) : this.#recent;
			this.#notify();
		}
	}

	restore(_index: number, data: string): void {
		const saved = JSON.parse(data) as SavedState;
		this.#intent = decodeIntent(saved.intent);
		this.#claims = new Map(saved.claims);
		this.#routing = saved.routing;
		this.#firstRoutingIndex = undefined;
		this.#recent = [];
		this.#notify();
	}

	save(): string {
		return JSON.stringify({intent: encodeIntent(this.#intent), claims: [...this.#claims], routing: this.#routing});
	}

	get recent(): readonly AppliedProposal[] {
		return this.#recent;
	}

	#replaceRouting(index: number, replacement: StoredRouting): void {
		if (this.#routing && replacement.version <= this.#routing.version) {
			return;
		}

		if (!this.#routing) {
			this.#firstRoutingIndex = index;
		}

		this.#routing = replacement;
		this.#notify();
	}

	#keepResult(index: number, result: CommandResult | readonly ClaimResult[]): void {
		this.#results.set(index, result);
		this.#results.delete(index - MAX_RECENT);
	}

	#notify(): void {
		for (const listener of this.#listeners) {
			listener();
		}
	}
}
