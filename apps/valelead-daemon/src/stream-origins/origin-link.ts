import {create} from '@bufbuild/protobuf';
import type {Clock, TimerService} from '@valelead/common';
import {
	type ChannelPool, type RecordReply, type StreamOriginBatch, StreamOriginBatchSchema, StreamOrigins,
} from '@valelead/protocol';
import type {OriginRecord} from '@valelead/stream-origin';
import type {ClientDuplexStream} from '@grpc/grpc-js';
import type {Logger} from 'pino';
import {encodeOrigin} from './encode-origin.js';

type RecordStream = ClientDuplexStream<StreamOriginBatch, RecordReply>;

type LinkParts = {
	readonly address: string;
	readonly pool: Pick<ChannelPool, 'get'>;
	readonly clock: Clock;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Returns all records that this holder must have. */
	readonly getRecords: () => readonly OriginRecord[];
};

const RECONNECT_MS = 500;

/** Sends records to one holder. A holder that was out of reach, or has restarted, gets all records that are still needed. */
export class OriginLink {
	readonly #parts: LinkParts;
	#stream: RecordStream | undefined;
	#isConnected = false;
	#isStopped = false;

	constructor(parts: LinkParts) {
		this.#parts = parts;
		this.#connect();
	}

	/** Sends a record at once. While there is no connection, it is sent with the others once there is one. */
	send(record: OriginRecord): void {
		this.#write([record]);
	}

	/** Sends all records that this holder must have. */
	sendAll(): void {
		this.#write(this.#parts.getRecords());
	}

	stop(): void {
		this.#isStopped = true;
		this.#stream?.cancel();
		this.#stream = undefined;
	}

	#write(records: readonly OriginRecord[]): void {
		const now = this.#parts.clock.now();
		this.#stream?.write(create(StreamOriginBatchSchema, {origins: records.map(record => encodeOrigin(record, now))}));
	}

	#connect(): void {
		if (this.#isStopped) {
			return;
		}

		const {address, pool, logger} = this.#parts;
		const stream = pool.get(address).bidiStream(StreamOrigins.method.record);
		this.#stream = stream;
		stream.on('data', () => {
			if (stream === this.#stream && !this.#isConnected) {
				this.#isConnected = true;
				logger.info({event: 'origin-holder-connected', address}, 'connected to a holder of stream origins');
			}
		});
		stream.on('error', error => {
			this.#handleLoss(stream, error.message);
		});
		stream.on('end', () => {
			this.#handleLoss(stream, 'the holder ended the call');
		});
		this.sendAll();
	}

	#handleLoss(stream: RecordStream, reason: string): void {
		if (stream !== this.#stream) {
			return;
		}

		const {address, timers, logger} = this.#parts;
		this.#stream = undefined;
		if (this.#isConnected) {
			this.#isConnected = false;
			logger.warn({event: 'origin-holder-lost', address, reason}, 'lost the connection to a holder of stream origins');
		}

		timers.after(RECONNECT_MS, () => {
			this.#connect();
		});
	}
}
