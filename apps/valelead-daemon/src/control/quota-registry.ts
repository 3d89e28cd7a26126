import {create} from '@bufbuild/protobuf';
import type {Clock, TimerService} from '@valelead/common';
import {type QuotaGrant, type QuotaUsage, QuotaGrantSchema} from '@valelead/protocol';
import {
	type Loan, type Quota, type QuotaLedger, type QuotaTolerance, type TermSighting,
	getPreviousTermStarts, getScarceSubjects, mutateConfirmedLoans, mutateLoan, mutateExpiredLoans, mutateQuotas, mutateAdoptedRate, mutateRateLoan,
	mutateReturnedRate, mutateTermHistory, mutateUsage, newQuotaLedger,
} from '@valelead/quota';

type RegistryParts = {
	readonly voter: {readonly node: {readonly term: number; readonly isCurrentLeader: boolean} | undefined};
	/** Returns the quotas in force by team. Returns the same object until the quotas change. */
	readonly getQuotas: () => ReadonlyMap<string, Quota>;
	readonly tolerance: QuotaTolerance;
	/** Share of each quota's bucket that is reserved for waiting requests; undefined for the default. */
	readonly waitingReserveShare?: number;
	/** True if less is lent while the loans of more than one previous leader may be valid. The terms are known from `start` on. */
	readonly areTermsCounted?: boolean;
	/** True if parts of the rates are lent to gateways that ask for them. It must be the same for all voters. */
	readonly areRatesLent?: boolean;
	readonly clock: Clock;
	readonly timers: TimerService;
};

/** Ledger of the loans granted in one term. */
type TermLedger = {
	readonly term: number;
	readonly ledger: QuotaLedger;
	quotas: ReadonlyMap<string, Quota> | undefined;
};

/** Interval at which the loans of silent gateways are ended, in milliseconds: well below the lifetime of a loan. */
const LOSS_CHECK_MS = 250;

/** Term of the first leader of an installation. */
const FIRST_TERM = 1;

/** Lends gateways parts of the teams' quotas. Runs on the leader. */
export class QuotaRegistry {
	readonly #parts: RegistryParts;
	/** Terms that this voter knows of, from its start. */
	readonly #terms: TermSighting[] = [];
	#state: TermLedger | undefined;

	constructor(parts: RegistryParts) {
		this.#parts = parts;
	}

	start(): void {
		this.#noteTerm();
		this.#parts.timers.repeat(LOSS_CHECK_MS, now => {
			this.#noteTerm();
			const state = this.#getState();
			if (state) {
				mutateExpiredLoans(state.ledger, now);
			}
		});
	}

	/** Processes the usage in a session's report. Returns the loans granted to the session; undefined if there are none. */
	note(sessionId: string, usages: readonly QuotaUsage[]): Loan[] | undefined {
		const state = this.#getState();
		if (!state || usages.length === 0) {
			return undefined;
		}

		const now = this.#parts.clock.now();
		const loans: Loan[] = [];
		for (const usage of usages) {
			mutateUsage(state.ledger, sessionId, usage, now);
			mutateAdoptedRate(state.ledger, sessionId, usage, now);
			mutateReturnedRate(state.ledger, sessionId, usage, now);
			const loan = mutateLoan(state.ledger, sessionId, usage, now);
			const rate = mutateRateLoan(state.ledger, sessionId, usage, now);
			if (loan ?? rate) {
				loans.push({...(loan ?? {subject: usage.subject, amount: 0, waitMs: 0}), ...(rate && {rate})});
			}
		}

		return loans.length > 0 ? loans : undefined;
	}

	/**
	 * Returns the grant to send to a session. The grant confirms all loans that the session holds. Returns undefined if no quota exists or this
	 * voter is not the leader.
	 */
	newGrant(sessionId: string, loans: readonly Loan[] = []): QuotaGrant | undefined {
		const state = this.#getState();
		if (!state || state.ledger.accounts.size === 0) {
			return undefined;
		}

		const now = this.#parts.clock.now();
		mutateConfirmedLoans(state.ledger, sessionId, now);
		return create(QuotaGrantSchema, {
			term: state.term, loans: [...loans], scarceSubjects: getScarceSubjects(state.ledger, now), areRatesConfirmed: state.ledger.areRatesLent,
		});
	}

	/** Remaining quota of each team, and the amount currently lent to gateways. */
	get levels(): ReadonlyArray<{readonly team: string; readonly level: number; readonly lent: number}> {
		const accounts = this.#getState()?.ledger.accounts ?? new Map<string, never>();
		return [...accounts].map(([team, {level, lent}]) => ({team, level, lent}));
	}

	#noteTerm(): void {
		const {voter: {node}, clock} = this.#parts;
		if (node) {
			mutateTermHistory(this.#terms, node.term, clock.now());
		}
	}

	/**
	 * Returns the ledger of the current term; undefined if this voter is not the leader. Loans of an earlier term expire, as the leader of that
	 * term can no longer confirm them.
	 */
	#getState(): TermLedger | undefined {
		const {voter: {node}, tolerance, waitingReserveShare, areTermsCounted, areRatesLent, clock, getQuotas} = this.#parts;
		if (!node?.isCurrentLeader) {
			return undefined;
		}

		this.#noteTerm();
		const now = clock.now();
		if (this.#state?.term !== node.term) {
			this.#state = {
				term: node.term, ledger: newQuotaLedger(tolerance, now, {
					waitingReserveShare, areRatesLent, isFirstTerm: node.term === FIRST_TERM, previousStarts: areTermsCounted ? getPreviousTermStarts(this.#terms) : [],
				}), quotas: undefined,
			};
		}

		const quotas = getQuotas();
		if (this.#state.quotas !== quotas) {
			this.#state.quotas = quotas;
			mutateQuotas(this.#state.ledger, quotas, now);
		}

		return this.#state;
	}
}
