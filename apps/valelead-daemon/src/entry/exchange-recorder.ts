import type {Clock, ResultCodeValue} from '@valelead/common';
import type {Metrics} from '../metrics/metrics.js';
import type {Exchange} from './exchange.js';

type RequestLabels = {
	readonly team: string;
	readonly class: string;
};

const MS_PER_SECOND = 1000;

/** Records durations and results of exchanges in the metrics of their team and class. */
export class ExchangeRecorder {
	readonly #metrics: Metrics;
	readonly #clock: Clock;

	constructor(metrics: Metrics, clock: Clock) {
		this.#metrics = metrics;
		this.#clock = clock;
	}

	/** Records the queue wait of an exchange at its first dispatch. */
	noteDispatch(exchange: Exchange): void {
		if (exchange.dispatchedAt === undefined) {
			exchange.dispatchedAt = this.#clock.now();
			this.#metrics.queueWait.observe(this.#getLabels(exchange), this.#getSecondsSince(exchange.arrivedAt));
		}
	}

	/** Records the time to the first chunk of a response, or the time between two chunks of a stream. */
	noteData(exchange: Exchange): void {
		const now = this.#clock.now();
		const labels = this.#getLabels(exchange);
		if (exchange.firstChunkAt === undefined) {
			exchange.firstChunkAt = now;
			this.#noteFirstChunk(exchange, labels);
		} else if (exchange.sink.isStream) {
			this.#metrics.betweenTokens.observe(labels, (now - exchange.lastChunkAt) / MS_PER_SECOND);
		}

		exchange.lastChunkAt = now;
	}

	/** Records the duration and the result of an exchange that has ended. */
	noteEnd(exchange: Exchange, code: ResultCodeValue): void {
		const labels = this.#getLabels(exchange);
		this.#metrics.duration.observe(labels, this.#getSecondsSince(exchange.arrivedAt));
		this.#metrics.results.inc({...labels, code: String(code)});
	}

	#noteFirstChunk(exchange: Exchange, labels: RequestLabels): void {
		const seconds = this.#getSecondsSince(exchange.arrivedAt);
		this.#metrics.firstToken.observe(labels, seconds);
		if (exchange.wasCold) {
			this.#metrics.coldStart.observe(labels, seconds);
		}
	}

	#getSecondsSince(time: number): number {
		return (this.#clock.now() - time) / MS_PER_SECOND;
	}

	#getLabels(exchange: Exchange): RequestLabels {
		return {team: this.#metrics.getTeamLabel(exchange.request.team), class: exchange.request.className};
	}
}
