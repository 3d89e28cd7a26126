import {once} from 'node:events';
import {create} from '@bufbuild/protobuf';
import {type Frame, type LaneUpdate, LaneUpdateSchema} from '@valelead/protocol';
import type {ServerDuplexStream} from '@grpc/grpc-js';

/** Writes frames and credits to the lane of one entry. Everything added in one event-loop iteration is sent as one message. */
export class LaneWriter {
	readonly #lane: ServerDuplexStream<unknown, LaneUpdate>;
	#frames: Frame[] = [];
	#credits: string[] = [];
	#validForMs = 0;
	#isFlushScheduled = false;
	#isFull = false;

	constructor(lane: ServerDuplexStream<unknown, LaneUpdate>) {
		this.#lane = lane;
	}

	/** Adds a frame. Resolves when the stream accepts more data or was cancelled. */
	async addFrame(frame: Frame): Promise<void> {
		this.#frames.push(frame);
		this.#scheduleFlush();
		if (this.#isFull && this.#lane.writable) {
			await Promise.race([once(this.#lane, 'drain'), once(this.#lane, 'cancelled')]);
		}
	}

	/** Adds credits to grant to the entry, each valid for `validForMs` milliseconds. */
	addCredits(ids: readonly string[], validForMs: number): void {
		this.#credits.push(...ids);
		this.#validForMs = validForMs;
		this.#scheduleFlush();
	}

	#scheduleFlush(): void {
		if (!this.#isFlushScheduled) {
			this.#isFlushScheduled = true;
			setImmediate(() => {
				this.#flush();
			});
		}
	}

	#flush(): void {
		this.#isFlushScheduled = false;
		if (this.#lane.writableEnded) {
			// An error of a write would discard what the entry has not received yet.
			return;
		}

		const update = create(LaneUpdateSchema, {
			frames: this.#frames,
			...(this.#credits.length > 0 && {credits: {ids: this.#credits, validForMs: this.#validForMs}}),
		});
		this.#frames = [];
		this.#credits = [];
		this.#isFull = !this.#lane.write(update);
	}
}
