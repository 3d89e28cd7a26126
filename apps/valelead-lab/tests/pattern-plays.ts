import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import type {Pattern, PlayFigures} from 'valelead-lab';

const PLAY_SEED_URL = new URL('play-seed.js', import.meta.url);

/**
 * Plays of patterns, each seed in a worker thread of its own. Threads can be ended while they compute; a play on the thread of the scenarios would
 * go on after the time-out of its step and slow down the scenarios that follow.
 */
export class PatternPlays {
	readonly #workers = new Set<Worker>();

	/** Number of plays that have not ended. */
	get count(): number {
		return this.#workers.size;
	}

	/** Plays a pattern once with each seed, from the first to the last one. */
	async play(pattern: Pattern, first: number, last: number): Promise<PlayFigures[]> {
		const seeds = Array.from({length: last - first + 1}, (_, index) => first + index);
		return Promise.all(seeds.map(async seed => this.#playSeed(pattern, seed)));
	}

	/** Ends all plays that are running; their promises stay pending. */
	async stop(): Promise<void> {
		await Promise.all([...this.#workers].map(async worker => worker.terminate()));
	}

	async #playSeed(pattern: Pattern, seed: number): Promise<PlayFigures> {
		const worker = new Worker(PLAY_SEED_URL, {workerData: {pattern, seed}});
		this.#workers.add(worker);
		worker.once('exit', () => {
			this.#workers.delete(worker);
		});
		const [figures] = await once(worker, 'message') as [PlayFigures];
		return figures;
	}
}
