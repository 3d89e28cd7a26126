import {readFileSync} from 'node:fs';
import {create} from '@bufbuild/protobuf';
import {SYSTEM_CLOCK, TimerService} from '@valelead/common';
import {
	type ExecuteReply, ChannelPool, Control, ExecuteRequestSchema, LeaderClient, QueryRequestSchema,
} from '@valelead/protocol';
import {ChannelCredentials} from '@grpc/grpc-js';
import type {Installation} from './installation.js';

type ExecuteOptions = {
	readonly commandId: string;
	readonly expectedRevision?: number;
};

const TIMEOUT_MS = 15_000;

/** An operator's connection without the start time of the command-line tool. */
export class ControlClient {
	readonly #timers = new TimerService(SYSTEM_CLOCK);
	readonly #pool = new ChannelPool(ChannelCredentials.createInsecure());
	readonly #leader: LeaderClient;
	readonly #operatorKey: string;

	constructor(installation: Installation) {
		this.#leader = new LeaderClient(this.#pool, installation.control.split(','), this.#timers);
		this.#operatorKey = readFileSync(installation.keyFile, 'utf8').trim();
	}

	async execute(commands: readonly unknown[], options: ExecuteOptions): Promise<ExecuteReply> {
		return this.#leader.call(Control.method.execute, create(ExecuteRequestSchema, {
			...options, operatorKey: this.#operatorKey, commands: JSON.stringify(commands),
		}), TIMEOUT_MS);
	}

	async list<Row>(listing: string): Promise<Row[]> {
		const statement = JSON.stringify({
			kind: 'show', listing, conditions: [], order: [],
		});
		const reply = await this.#leader.call(Control.method.query, create(QueryRequestSchema, {operatorKey: this.#operatorKey, statement}), TIMEOUT_MS);
		return JSON.parse(reply.rows) as Row[];
	}

	close(): void {
		this.#pool.close();
		this.#timers.stop();
	}
}
