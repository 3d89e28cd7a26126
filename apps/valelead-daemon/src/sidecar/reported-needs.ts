import {type UnitNeed, getAgedNeed, getMergedNeeds} from '@valelead/residency';

/** The needs of one gateway, and when it told them. */
type GatewayNeeds = {
	readonly needs: readonly UnitNeed[];
	readonly reportedAt: number;
};

/** What gateways have told that they need of an engine. Times are monotonic milliseconds. */
export class ReportedNeeds {
	readonly #gateways = new Map<string, GatewayNeeds>();

	/** Takes the whole need of the gateway at the other end of a stream. */
	set(streamId: string, needs: readonly UnitNeed[], now: number): void {
		this.#gateways.set(streamId, {needs, reportedAt: now});
	}

	forget(streamId: string): void {
		this.#gateways.delete(streamId);
	}

	get hasWaitingRequests(): boolean {
		return [...this.#gateways.values()].some(({needs}) => needs.some(need => need.waiting > 0));
	}

	/** The needs of all gateways added up, as they are now. */
	getAll(now: number): UnitNeed[] {
		return getMergedNeeds([...this.#gateways.values()].flatMap(({needs, reportedAt}) => needs.map(need => getAgedNeed(need, now - reportedAt))));
	}
}
