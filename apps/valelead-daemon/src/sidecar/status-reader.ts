import type {Clock} from '@valelead/common';
import type {Logger} from 'pino';
import type {EngineStatus} from '../adapter/engine-status.js';
import {ReachabilityLog} from './reachability-log.js';
import type {EnginePort} from './engine-port.js';
import type {KnownRun} from './known-run.js';

type ReaderOptions = {
	readonly client: EnginePort;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly run: KnownRun;
};

/** Polls an engine for its status, updates the known run from the response, and records the time of the poll. */
export class StatusReader {
	readonly #parts: ReaderOptions;
	readonly #reach: ReachabilityLog;
	#askedAt = Number.NEGATIVE_INFINITY;

	constructor(parts: ReaderOptions) {
		this.#parts = parts;
		this.#reach = new ReachabilityLog(parts.logger);
	}

	/** The time since the engine was last polled, in milliseconds; infinite if the last status has expired. */
	get ageMs(): number {
		return this.#parts.clock.now() - this.#askedAt;
	}

	/** Marks the last status as outdated, so that the engine is polled before the next decision. */
	expire(): void {
		this.#askedAt = Number.NEGATIVE_INFINITY;
	}

	/** Polls the engine's status. Returns undefined if the engine does not respond, or if the response came from an older run than the known one. */
	async read(): Promise<EngineStatus | undefined> {
		const {client, clock, run} = this.#parts;
		try {
			this.#askedAt = clock.now();
			const reply = await client.getStatus();
			this.#reach.note(true, run.id, '');
			return run.updateFromStatus(reply) ? reply.status : undefined;
		} catch (error) {
			this.#reach.note(false, run.id, (error as Error).message);
			return undefined;
		}
	}
}
