import {readFileSync} from 'node:fs';
import {create} from '@bufbuild/protobuf';
import {
	RESULT_CODE, type ResultCodeValue, SYSTEM_CLOCK, TimerService, ValeleadError,
} from '@valelead/common';
import {
	ChannelPool, Control, ExecuteRequestSchema, LeaderClient, QueryRequestSchema,
} from '@valelead/protocol';
import type {Command} from '@valelead/intent';
import type {Explain, Row, Show} from '@valelead/language';
import {newCredentials} from './new-credentials.js';
import type {CommonOptions} from './common-options.js';

type QueryResult = {
	readonly rows: readonly Row[];
	readonly revision: number;
};

type ExecuteOptions = {
	readonly commandId: string;
	readonly expectedRevision?: number;
	readonly isDryRun: boolean;
};

/** The connection of the command-line tool to the leader. */
export class Connection {
	readonly timers = new TimerService(SYSTEM_CLOCK);
	readonly #pool: ChannelPool;
	readonly #leader: LeaderClient;
	readonly #operatorKey: string;
	readonly #timeoutMs: number;

	constructor(options: CommonOptions) {
		this.#pool = new ChannelPool(newCredentials(options));
		this.#leader = new LeaderClient(this.#pool, options.control.split(','), this.timers);
		this.#operatorKey = readFileSync(options.keyFile, 'utf8').trim();
		this.#timeoutMs = options.timeout;
	}

	/** Executes commands atomically and returns the revision of the configuration that they created. */
	async execute(commands: readonly Command[], options: ExecuteOptions): Promise<number> {
		const request = create(ExecuteRequestSchema, {
			commandId: options.commandId,
			operatorKey: this.#operatorKey,
			commands: JSON.stringify(commands),
			isDryRun: options.isDryRun,
			...(options.expectedRevision !== undefined && {expectedRevision: options.expectedRevision}),
		});
		const reply = await this.#leader.call(Control.method.execute, request, this.#timeoutMs);
		this.#throwOnError(reply.code, reply.message);
		return reply.revision;
	}

	/** Executes a query and returns its rows, and the revision of the configuration that they show. */
	async query(statement: Show | Explain): Promise<QueryResult> {
		const request = create(QueryRequestSchema, {operatorKey: this.#operatorKey, statement: JSON.stringify(statement)});
		const reply = await this.#leader.call(Control.method.query, request, this.#timeoutMs);
		this.#throwOnError(reply.code, reply.message);
		return {rows: JSON.parse(reply.rows) as Row[], revision: reply.revision};
	}

	close(): void {
		this.#pool.close();
		this.timers.stop();
	}

	#throwOnError(code: number, message: string): void {
		if (code !== RESULT_CODE.Ok) {
			throw new ValeleadError(message, {code: code as ResultCodeValue});
		}
	}
}
