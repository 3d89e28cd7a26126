import {
	type Claims, type ClaimResult, type CommandResult, type ControlRecord, type Intent, decodeIntent, encodeIntent, mutateClaims, mutateIntent, newIntent,
} from '@valelead/intent';
import {type Withdrawal, type Withdrawals, mutateWithdrawals} from '@valelead/discovery';
import type {StateMachine} from '@valelead/consensus';
import {type OriginRegister, mutateOriginRegister} from '@valelead/stream-origin';
import type {StoredRouting} from './stored-routing.js';
import type {AppliedProposal} from './applied-proposal.js';

/** Maximum number of applied proposals that are kept, so that a follower can be sent these instead of the complete state. */
const MAX_RECENT_PROPOSALS = 2000;

type SavedState = {
	readonly intent: string;
	readonly claims: ReadonlyArray<[string, never]>;
	readonly routing?: StoredRouting;
	/** Software versions by service; missing in snapshots of earlier builds. */
	readonly versions?: ReadonlyArray<[string, readonly string[]]>;
	/** Services by route; missing in snapshots of earlier builds. */
	readonly routes?: ReadonlyArray<[string, readonly string[]]>;
	/** Missing in snapshots of earlier builds. */
	readonly gatewayCount?: number;
	/** Missing in snapshots of earlier builds. */
	readonly withdrawals?: readonly Withdrawal[];
};

const encodeRegister = (register: OriginRegister): Array<[string, string[]]> => [...register].map(([name, values]) => [name, [...values]]);

const decodeRegister = (saved: ReadonlyArray<[string, readonly string[]]> = []): OriginRegister => new Map(saved.map(([name, values]) => [name, new Set(values)]));

/** The replicated state machine that the consensus log drives: the configuration, the claims on idempotency keys and the routing configuration. */
export class ControlMachine implements StateMachine {
	#intent: Intent = newIntent();
	#claims: Claims = new Map();
	#routing: StoredRouting | undefined;
	#versions: OriginRegister = new Map();
	#routes: OriginRegister = new Map();
	#gatewayCount = 0;
	#withdrawals: Withdrawals = new Map();
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

	/** The routing configuration in force; undefined before the first one is committed. */
	get routing(): StoredRouting | undefined {
		return this.#routing;
	}

	/** The software versions of upstreams at which streams may have begun. */
	get versions(): OriginRegister {
		return this.#versions;
	}

	/** The services to which routes of streams led lately, of routes that were moved. */
	get routes(): OriginRegister {
		return this.#routes;
	}

	/** Number of gateways that may have a share of the common budgets; 0 before any gateway was counted. */
	get gatewayCount(): number {
		return this.#gatewayCount;
	}

	/** The runs of upstreams that have declared that they accept no more requests. */
	get withdrawals(): Withdrawals {
		return this.#withdrawals;
	}

	/** The log index of the installation's first routing configuration; undefined before that entry, or if the routing came with a snapshot. */
	get firstRoutingIndex(): number | undefined {
		return this.#firstRoutingIndex;
	}

	/** Registers a callback that runs after each change of the configuration or of the routing. */
	subscribe(listener: () => void): void {
		this.#listeners.push(listener);
	}

	/** Returns the result of the log entry at an index and removes it. A result that is not fetched is dropped after 2000 further entries. */
	takeResult(index: number): CommandResult | readonly ClaimResult[] | undefined {
		const result = this.#results.get(index);
		this.#results.delete(index);
		return result;
	}

	/** Returns the proposals applied after a revision; undefined if they are no longer kept and a snapshot has to be sent instead. */
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
			this.#storeResult(index, record.commands.map(command => mutateClaims(this.#claims, record.at, command)));
			if (record.versionChange) {
				const {kind, service, softwareVersion} = record.versionChange;
				mutateOriginRegister(this.#versions, kind, {name: service, value: softwareVersion});
			}

			if (record.routeChange) {
				const {kind, route, service} = record.routeChange;
				mutateOriginRegister(this.#routes, kind, {name: route, value: service});
			}

			if (record.withdrawal) {
				mutateWithdrawals(this.#withdrawals, {upstream: record.withdrawal, at: record.at});
			}

			this.#gatewayCount = record.gatewayCount ?? this.#gatewayCount;
			return;
		}

		if (record.kind === 'routing') {
			this.#replaceRouting(index, {version: record.version, document: record.document});
			return;
		}

		const before = this.#intent.revision;
		const result = mutateIntent(this.#intent, record.proposal);
		this.#storeResult(index, result);
		if (this.#intent.revision !== before) {
			this.#recent.push({revision: this.#intent.revision, at: record.at, proposal: record.proposal});
			this.#recent = this.#recent.length > MAX_RECENT_PROPOSALS ? this.#recent.slice(-MAX_RECENT_PROPOSALS / 2) : this.#recent;
			this.#notify();
		}
	}

	restore(_index: number, data: string): void {
		const saved = JSON.parse(data) as SavedState;
		this.#intent = decodeIntent(saved.intent);
		this.#claims = new Map(saved.claims);
		this.#routing = saved.routing;
		this.#gatewayCount = saved.gatewayCount ?? 0;
		this.#withdrawals = new Map((saved.withdrawals ?? []).map(withdrawal => [withdrawal.upstream.id, withdrawal]));
		this.#versions = decodeRegister(saved.versions);
		this.#routes = decodeRegister(saved.routes);
		this.#firstRoutingIndex = undefined;
		this.#recent = [];
		this.#notify();
	}

	save(): string {
		return JSON.stringify({
			intent: encodeIntent(this.#intent),
			claims: [...this.#claims],
			routing: this.#routing,
			versions: encodeRegister(this.#versions),
			routes: encodeRegister(this.#routes),
			gatewayCount: this.#gatewayCount,
			withdrawals: [...this.#withdrawals.values()],
		});
	}

	/** The latest applied proposals, oldest first. */
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

	#storeResult(index: number, result: CommandResult | readonly ClaimResult[]): void {
		this.#results.set(index, result);
		this.#results.delete(index - MAX_RECENT_PROPOSALS);
	}

	#notify(): void {
		for (const listener of this.#listeners) {
			listener();
		}
	}
}
