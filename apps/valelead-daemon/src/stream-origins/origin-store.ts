import type {Clock, TimerService} from '@valelead/common';
import {
	type OriginRecord, getOrigin, mutateExpiredOrigins, mutateOriginTable, newOriginTable,
} from '@valelead/stream-origin';

type StoreParts = {
	readonly clock: Clock;
	readonly timers: TimerService;
};

/** Interval at which expired records are removed, in milliseconds. */
const EXPIRY_CHECK_MS = 1000;

/** Stores the origins of recent streams in memory. */
export class OriginStore {
	readonly #clock: Clock;
	readonly #table = newOriginTable();

	constructor({clock, timers}: StoreParts) {
		this.#clock = clock;
		timers.repeat(EXPIRY_CHECK_MS, now => {
			mutateExpiredOrigins(this.#table, now);
		});
	}

	get size(): number {
		return this.#table.records.size;
	}

	/** All stored origins, except those that are ambiguous. */
	get all(): OriginRecord[] {
		return [...this.#table.records.values()].flatMap(({record}) => record ?? []);
	}

	record(record: OriginRecord): void {
		mutateOriginTable(this.#table, record);
	}

	forget(key: string): void {
		this.#table.records.delete(key);
	}

	/** Returns the origin of a stream; undefined if it is unknown, ambiguous or has expired. */
	get(key: string): OriginRecord | undefined {
		const record = getOrigin(this.#table, key);
		return record !== undefined && record.expiresAt > this.#clock.now() ? record : undefined;
	}
}
