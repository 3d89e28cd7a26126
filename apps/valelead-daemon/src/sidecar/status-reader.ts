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

/** Asks an engine for its state, learns from the answer which run gave it, and remembers when it was asked. */
export class StatusReader {
	readonly #parts: ReaderOptions;
	readonly #reach: ReachabilityLog;
	#askedAt = Number.NEGATIVE_INFINITY;

	constructor(parts: ReaderOptions) {
		this.#parts = parts;
		this.#reach = new ReachabilityLog(parts.logger);
	}

	/** Since the engine was asked last, in milliseconds. */
	get ageMs(): number {
		return this.#parts.clock.now() - this.#askedAt;
	}

	/** What was told last does not hold any more. */
	expire(): void {
		this.#askedAt = Number.NEGATIVE_INFINITY;
	}

	/** The engine's state; undefined where it does not answer, or where an earlier run than is known did. */
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
