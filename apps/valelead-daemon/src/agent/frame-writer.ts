import type {Buffer} from 'node:buffer';
import {create} from '@bufbuild/protobuf';
import {type Frame, FrameSchema} from '@valelead/protocol';
import type {LaneWriter} from './lane-writer.js';

/** Writes the response of one attempt to a lane as numbered frames. */
export class FrameWriter {
	readonly #lane: LaneWriter;
	readonly #attemptId: string;
	#sequence = 0;
	#bytes = 0;

	constructor(lane: LaneWriter, attemptId: string) {
		this.#lane = lane;
		this.#attemptId = attemptId;
	}

	async start(status: number, contentType: string): Promise<void> {
		await this.#write({case: 'start', value: {$typeName: 'valelead.v1.AnswerStart', status, contentType}});
	}

	async data(chunk: Buffer): Promise<void> {
		this.#bytes += chunk.length;
		await this.#write({case: 'data', value: chunk});
	}

	async end(): Promise<void> {
		await this.#write({case: 'end', value: {$typeName: 'valelead.v1.AnswerEnd', frames: this.#sequence, bytes: this.#bytes}});
	}

	async refuse(code: number, message: string, outcome: string): Promise<void> {
		await this.#write({
			case: 'refusal',
			value: {
				$typeName: 'valelead.v1.AnswerRefusal', code, message, outcome, retryAfterMs: 0,
			},
		});
	}

	async #write(part: Frame['part']): Promise<void> {
		const frame = create(FrameSchema, {attemptId: this.#attemptId, sequence: this.#sequence, part});
		this.#sequence += 1;
		await this.#lane.addFrame(frame);
	}
}
