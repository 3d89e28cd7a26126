import {type UnitNeed, getAgedNeed, getMergedNeeds} from '@valelead/residency';

/** The needs of one gateway, and when it reported them. */
type GatewayNeeds = {
	readonly needs: readonly UnitNeed[];
	readonly reportedAt: number;
};

/** The needs for one engine that gateways have reported. Times are monotonic milliseconds. */
export class ReportedNeeds {
	readonly #gateways = new Map<string, GatewayNeeds>();

	/** Replaces the needs of the gateway at the other end of a stream. */
	set(streamId: string, needs: readonly UnitNeed[], now: number): void {
		this.#gateways.set(streamId, {needs, reportedAt: now});
	}

	forget(streamId: string): void {
		this.#gateways.delete(streamId);
	}

	get hasWaitingRequests(): boolean {
		return [...this.#gateways.values()].some(({needs}) => needs.some(need => need.waiting > 0));
	}

	/** Returns the sum of the needs of all gateways, with all deadlines reduced by the time since they were reported. */
	getAll(now: number): UnitNeed[] {
		return getMergedNeeds([...this.#gateways.values()].flatMap(({needs, reportedAt}) => needs.map(need => getAgedNeed(need, now - reportedAt))));
	}
}
