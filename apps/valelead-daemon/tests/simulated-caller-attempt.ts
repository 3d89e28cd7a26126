import type {AttemptShare} from './attempt-share.js';
import type {SimulatedStream} from './simulated-stream.js';
import type {ResponseWriter} from 'valelead-daemon';

/** Share of the events at which the caller's connection breaks. */
const BREAK_SHARE = 0.03;

/** One attempt of a caller at a gateway. */
export class SimulatedCallerAttempt {
	id = '';
	isOver = false;
	readonly #share: AttemptShare | undefined;
	readonly #random: () => number;
	#hasEvent = false;
	#abandon: (() => void) | undefined;

	constructor(readonly stream: SimulatedStream, share: AttemptShare | undefined, random: () => number) {
		this.#share = share;
		this.#random = random;
	}

	end(): void {
		this.isOver = true;
	}

	/** Sets how the gateway is told that the caller has disconnected. */
	setAbandon(abandon: () => void): void {
		this.#abandon = abandon;
	}

	/** @param deliver - Delivers to the caller what the gateway has written. */
	newWriter(deliver: (action: () => void) => void): ResponseWriter {
		let isStarted = false;
		let isEnded = false;
		return {
			isCallerDisconnected: false,
			get isStarted() {
				return isStarted;
			},
			get isEnded() {
				return isEnded;
			},
			start() {
				isStarted = true;
			},
			data: chunk => {
				const text = chunk.toString();
				deliver(() => {
					this.#take(text);
				});
			},
			end: () => {
				isEnded = true;
				deliver(() => {
					if (!this.isOver) {
						this.isOver = true;
						this.stream.isWhole = true;
					}
				});
			},
			refuse: () => {
				isEnded = true;
				deliver(() => {
					this.isOver = true;
				});
			},
		};
	}

	#take(text: string): void {
		for (const match of text.matchAll(/id: (?<id>\d+)\ndata: (?<source>\S+)\n\n/gv)) {
			if (!this.isOver) {
				this.#takeEvent(Number(match.groups!.id), match.groups!.source);
			}
		}
	}

	#takeEvent(event: number, source: string): void {
		const {stream} = this;
		stream.firstAttempt ||= this.id;
		stream.isBroken ||= event !== stream.lastEvent + 1;
		stream.lastEvent = event;
		stream.sources.push(source);
		if (!this.#hasEvent && this.#share) {
			this.#share.served += 1;
		}

		this.#hasEvent = true;
		if (this.#random() < BREAK_SHARE) {
			this.isOver = true;
			this.#abandon?.();
		}
	}
}
