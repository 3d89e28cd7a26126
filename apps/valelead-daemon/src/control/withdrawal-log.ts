import type {Upstream, Withdrawals} from '@valelead/discovery';

/** The part of a voter that keeps the withdrawals of upstreams in the replicated log. */
export type WithdrawalLog = {
	readonly node: {readonly term: number; readonly canRead: boolean} | undefined;
	readonly machine: {readonly withdrawals: Withdrawals};
	/** Resolves once the withdrawal is committed and applied. */
	readonly withdraw: (upstream: Upstream) => Promise<void>;
};
