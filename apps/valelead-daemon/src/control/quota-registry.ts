import {create} from '@bufbuild/protobuf';
import type {Clock, TimerService} from '@valelead/common';
import {type QuotaGrant, type QuotaUsage, QuotaGrantSchema} from '@valelead/protocol';
import {
	type Loan, type Quota, type QuotaLedger, type QuotaTolerance, getScarceSubjects, mutateConfirmedLoans, mutateLoan, mutateLostLoans, mutateQuotas, mutateUsage, newQuotaLedger,
} from '@valelead/quota';

type RegistryParts = {
	readonly voter: {readonly node: {readonly term: number; readonly isCurrentLeader: boolean} | undefined};
	/** The quotas in force by team; the same object until they change. */
	readonly getQuotas: () => ReadonlyMap<string, Quota>;
	readonly tolerance: QuotaTolerance;
	readonly clock: Clock;
	readonly timers: TimerService;
};

/** The ledger of one leadership. */
type TermLedger = {
	readonly term: number;
	readonly ledger: QuotaLedger;
	quotas: ReadonlyMap<string, Quota> | undefined;
};

/** How often loans of silent gateways are ended, in milliseconds: well below the time of a loan. */
const CHECK_MS = 250;

/** Lends gateways, as the leader, what teams may ask. */
export class QuotaRegistry {
	readonly #parts: RegistryParts;
	#state: TermLedger | undefined;

	constructor(parts: RegistryParts) {
		this.#parts = parts;
	}

	start(): void {
		this.#parts.timers.repeat(CHECK_MS, now => {
			const state = this.#getState();
			if (state) {
				mutateLostLoans(state.ledger, now);
			}
		});
	}

	/** Takes what a session tells, and lends it what it asks for; undefined where it asks for nothing. */
	note(sessionId: string, usages: readonly QuotaUsage[]): Loan[] | undefined {
		const state = this.#getState();
		if (!state || usages.length === 0) {
			return undefined;
		}

		const now = this.#parts.clock.now();
		const loans: Loan[] = [];
		for (const usage of usages) {
			mutateUsage(state.ledger, sessionId, usage, now);
			const loan = mutateLoan(state.ledger, sessionId, usage, now);
			loans.push(...(loan ? [loan] : []));
		}

		return loans.length > 0 ? loans : undefined;
	}

	/** What a session is told now, which confirms all that it holds; undefined where no team has a quota or this voter does not lead. */
	newGrant(sessionId: string, loans: readonly Loan[] = []): QuotaGrant | undefined {
		const state = this.#getState();
		if (!state || state.ledger.accounts.size === 0) {
			return undefined;
		}

		const now = this.#parts.clock.now();
		mutateConfirmedLoans(state.ledger, sessionId, now);
		return create(QuotaGrantSchema, {term: state.term, loans: [...loans], scarceSubjects: getScarceSubjects(state.ledger, now)});
	}

	/** What teams may still use, and what is lent of it. */
	get levels(): ReadonlyArray<{readonly team: string; readonly level: number; readonly lent: number}> {
		const accounts = this.#getState()?.ledger.accounts ?? new Map<string, never>();
		return [...accounts].map(([team, {level, lent}]) => ({team, level, lent}));
	}

	/** What was lent under an earlier term ends by itself, as its leader cannot confirm it any more. */
	#getState(): TermLedger | undefined {
		const {voter: {node}, tolerance, clock, getQuotas} = this.#parts;
		if (!node?.isCurrentLeader) {
			return undefined;
		}

		const now = clock.now();
		if (this.#state?.term !== node.term) {
			this.#state = {term: node.term, ledger: newQuotaLedger(tolerance, now), quotas: undefined};
		}

		const quotas = getQuotas();
		if (this.#state.quotas !== quotas) {
			this.#state.quotas = quotas;
			mutateQuotas(this.#state.ledger, quotas, now);
		}

		return this.#state;
	}
}
