import {create} from '@bufbuild/protobuf';
import {
	type TeamDispatches, type TeamTotals, TeamDispatchesSchema, TeamTotalsSchema,
} from '@valelead/protocol';
import type {SentTotals} from './sent-totals.js';

type RegistryParts = {
	readonly getTerm: () => number;
};

/** Smallest change of a total that is sent, in dispatches: far above the rounding errors of sums of fractions, and below a dispatch of any team. */
const MIN_CHANGE = 0.001;

/** Sums what the gateways have dispatched of each team. Runs on the leader; begins with zero in each term. */
export class TeamRegistry {
	readonly #parts: RegistryParts;
	#term = -1;
	/** Dispatches of all gateways, by team. */
	#totals = new Map<string, number>();
	/** Dispatches of each gateway by team, by VM. They are kept when a session ends, so that a gateway is never sent its own as those of others. */
	#byGateway = new Map<string, Map<string, number>>();

	constructor(parts: RegistryParts) {
		this.#parts = parts;
	}

	/** Adds what a gateway reports to have dispatched since its last report. */
	note(vm: string, dispatches: readonly TeamDispatches[]): void {
		this.#clearOnNewTerm();
		const own = this.#byGateway.get(vm) ?? new Map<string, number>();
		for (const {team, count} of dispatches) {
			own.set(team, (own.get(team) ?? 0) + count);
			this.#totals.set(team, (this.#totals.get(team) ?? 0) + count);
			this.#byGateway.set(vm, own);
		}
	}

	/**
	 * Returns what the gateways other than the one on a VM have dispatched; undefined if nothing has changed.
	 * @param sent - The totals that were sent in the session of that gateway; the returned ones are added.
	 */
	newTotals(vm: string, sent: SentTotals): TeamTotals | undefined {
		this.#clearOnNewTerm();
		if (sent.term !== this.#term) {
			sent.term = this.#term;
			sent.counts.clear();
		}

		const own = this.#byGateway.get(vm);
		const teams: TeamDispatches[] = [];
		for (const [team, total] of this.#totals) {
			const count = total - (own?.get(team) ?? 0);
			if (count - (sent.counts.get(team) ?? 0) > MIN_CHANGE) {
				sent.counts.set(team, count);
				teams.push(create(TeamDispatchesSchema, {team, count}));
			}
		}

		return teams.length > 0 ? create(TeamTotalsSchema, {term: this.#term, teams}) : undefined;
	}

	#clearOnNewTerm(): void {
		const term = this.#parts.getTerm();
		if (term !== this.#term) {
			this.#term = term;
			this.#totals = new Map();
			this.#byGateway = new Map();
		}
	}
}
