import type {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {
	type Clock, OUTCOME, RESULT_CODE, type ResultCodeValue, type TimerService, ValeleadError,
} from '@valelead/common';
import {BodyReading} from './body-reading.js';
import type {HeldBody} from './held-body.js';

type BodiesParts = {
	/** The most bytes that all bodies together may occupy. */
	readonly maxTotalBytes: number;
	readonly clock: Clock;
	readonly timers: TimerService;
	/** Collects the buffers of bodies that have been given up, at once; absent if they are left to the regular collection. */
	readonly collectGarbage?: () => void;
};

type BodyTerms = {
	/** The most bytes of one body. */
	readonly maxBytes: number;
	/** When the body must be complete, in monotonic milliseconds. */
	readonly endsAt: number;
};

/** The Retry-After time of requests that are refused for want of memory, in milliseconds. */
const RETRY_AFTER_MS = 1000;

const newError = (code: ResultCodeValue, text: string, retryAfterMs = 0): Error => new ValeleadError(text, {code, outcome: OUTCOME.NotRun, retryAfterMs});

/** Reads the bodies of requests, and bounds the memory of all together and the time for which an incomplete one may occupy it. */
export class CallerBodies {
	readonly #maxTotalBytes: number;
	readonly #reading = new Set<BodyReading>();
	#heldBytes = 0;
	readonly #clock: Clock;
	readonly #timers: TimerService;
	readonly #collectGarbage: (() => void) | undefined;
	/** Bytes of bodies that were given up since the last collection. */
	#givenUpBytes = 0;

	constructor({maxTotalBytes, clock, timers, collectGarbage}: BodiesParts) {
		this.#maxTotalBytes = maxTotalBytes;
		this.#clock = clock;
		this.#timers = timers;
		this.#collectGarbage = collectGarbage;
	}

	/** The memory of all bodies, complete or not, in bytes. */
	get totalBytes(): number {
		return this.#heldBytes;
	}

	/**
	 * Reads a body. Rejects with BodyTooLarge if it has more bytes than allowed, with QueueFull if it is the largest incomplete one as all bodies exceed
	 * their memory, and with WaitTooLong if it is not complete in time. The connection is left open in each case.
	 */
	async read(message: IncomingMessage, {maxBytes, endsAt}: BodyTerms): Promise<HeldBody> {
		return new Promise((resolve, reject) => {
			const overdue = this.#timers.after(endsAt - this.#clock.now(), () => {
				reading.fail(newError(RESULT_CODE.WaitTooLong, 'The body was not complete within the time of the request'));
			});
			const reading = new BodyReading(error => {
				overdue.cancel();
				this.#noteGivenUp(reading.heldBytes);
				this.#forget(reading);
				reading.clear();
				message.off('data', add);
				reject(error);
			});
			const add = (chunk: Buffer): void => {
				const before = reading.heldBytes;
				reading.add(chunk);
				this.#heldBytes += reading.heldBytes - before;
				if (reading.length > maxBytes) {
					reading.fail(newError(RESULT_CODE.BodyTooLarge, `The body has more than ${maxBytes} bytes`));
				} else if (this.#heldBytes > this.#maxTotalBytes) {
					this.#endLargest();
				}
			};

			this.#reading.add(reading);
			message.on('data', add);
			message.once('end', () => {
				if (this.#reading.has(reading)) {
					overdue.cancel();
					resolve(this.#complete(reading));
				}
			});
			message.once('error', error => {
				reading.fail(error);
			});
			message.once('close', () => {
				if (!message.readableEnded) {
					reading.fail(new Error('the connection ended within the body'));
				}
			});
		});
	}

	#complete(reading: BodyReading): HeldBody {
		const bytes = reading.newBody();
		this.#forget(reading);
		reading.clear();
		let heldBytes = bytes.length;
		this.#heldBytes += heldBytes;
		return {
			bytes,
			release: () => {
				this.#heldBytes -= heldBytes;
				heldBytes = 0;
			},
		};
	}

	#forget(reading: BodyReading): void {
		if (this.#reading.delete(reading)) {
			this.#heldBytes -= reading.heldBytes;
		}
	}

	/**
	 * Frees the buffers of bodies that were given up, once they may occupy as much as the bodies that are held: V8 would keep up to 64 MB of them for as
	 * long as its heap does not grow. A collection takes 10 to 30 ms, so it is not made for each body.
	 */
	#noteGivenUp(bytes: number): void {
		this.#givenUpBytes += bytes;
		if (!this.#collectGarbage || this.#givenUpBytes <= this.#maxTotalBytes) {
			return;
		}

		this.#givenUpBytes = 0;
		// The functions that are running now still refer to the body.
		this.#timers.after(0, this.#collectGarbage);
	}

	/** Gives up the largest incomplete body: that frees most memory for the fewest requests, and none of them has run. */
	#endLargest(): void {
		let largest: BodyReading | undefined;
		for (const reading of this.#reading) {
			largest = largest && largest.heldBytes >= reading.heldBytes ? largest : reading;
		}

		largest?.fail(newError(RESULT_CODE.QueueFull, 'The bodies of all requests exceed the memory for them', RETRY_AFTER_MS));
	}
}
