import {create} from '@bufbuild/protobuf';
import {RESULT_CODE, type ResultCodeValue, ValeleadError} from '@valelead/common';
import {
	type Command, decodeCommands, decodeIntent, encodeIntent, mutateIntent,
} from '@valelead/intent';
import {
	type ClaimReply, type ClaimRequest, type ExecuteRequest, type QueryRequest, type SessionReport, type SessionUpdate, ClaimReplySchema, ExecuteReplySchema, QueryReplySchema,
} from '@valelead/protocol';
import type {Statement} from '@valelead/language/rows';
import type {
	handleBidiStreamingCall, sendUnaryData, ServerUnaryCall, UntypedServiceImplementation,
} from '@grpc/grpc-js';
import {findOperator} from './find-operator.js';
import {newClaimReply} from './new-claim-reply.js';
import {queryRows} from './query-rows.js';
import {toClaimCommand} from './to-claim-command.js';
import type {Leader} from './leader.js';
import type {ControlSessions} from './control-sessions.js';
import type {Voter} from './voter.js';

type ServiceParts = {
	readonly voter: Voter;
	readonly leader: Leader;
	readonly sessions: ControlSessions;
	readonly initialOperatorHash: string;
};

type Reply = {
	readonly code: ResultCodeValue;
	readonly message: string;
	readonly revision: number;
};

/** Kinds of commands that only the system proposes; an operator may not execute them. */
const SYSTEM_COMMANDS: ReadonlySet<string> = new Set(['registerVm', 'grant', 'revoke', 'release', 'quarantineRequest']);

/** Implements the calls of operators and entries; all of them require this voter to be the leader. */
class ControlService {
	readonly #parts: ServiceParts;

	constructor(parts: ServiceParts) {
		this.#parts = parts;
	}

	async execute(request: ExecuteRequest): Promise<Reply> {
		this.#requireLeader();
		this.#requireOperator(request.operatorKey, true);
		const commands = decodeCommands(request.commands);
		const forbidden = commands.find(command => SYSTEM_COMMANDS.has(command.kind));
		if (forbidden) {
			throw new ValeleadError(`${forbidden.kind} is not an operator's command`, {code: RESULT_CODE.InvalidCommand});
		}

		if (request.isDryRun) {
			return this.#dryRun(commands);
		}

		const result = await this.#parts.voter.propose({
			commandId: request.commandId,
			...(request.expectedRevision !== undefined && {expectedRevision: request.expectedRevision}),
			commands,
		});
		await this.#parts.voter.waitForVoters();
		return result;
	}

	query(request: QueryRequest): string {
		this.#requireLeader();
		this.#requireOperator(request.operatorKey, false);
		return JSON.stringify(queryRows(this.#parts.voter, this.#parts.leader, JSON.parse(request.statement) as Exclude<Statement, {kind: 'change'}>));
	}

	async claim(request: ClaimRequest): Promise<ClaimReply> {
		this.#requireLeader();
		return newClaimReply(await this.#parts.voter.claim(toClaimCommand(request)));
	}

	get revision(): number {
		return this.#parts.voter.machine.intent.revision;
	}

	get leaderAddress(): string {
		return this.#parts.voter.leaderAddress;
	}

	/** Returns the result that the commands would have, by applying them to a copy of the configuration. */
	#dryRun(commands: readonly Command[]): Reply {
		const copy = decodeIntent(encodeIntent(this.#parts.voter.machine.intent));
		return mutateIntent(copy, {commandId: '', commands});
	}

	#requireLeader(): void {
		if (!this.#parts.voter.node?.isCurrentLeader) {
			throw new ValeleadError('This voter does not lead', {code: RESULT_CODE.NotLeader});
		}
	}

	#requireOperator(key: string, mustWrite: boolean): void {
		const operator = findOperator(this.#parts.voter.machine.intent, key, this.#parts.initialOperatorHash);
		if (!operator) {
			throw new ValeleadError('The operator key is not known', {code: RESULT_CODE.Unauthenticated});
		}

		if (mustWrite && !operator.canWrite) {
			throw new ValeleadError(`Operator ${operator.name} may only read`, {code: RESULT_CODE.ReadOnly});
		}
	}
}

const newErrorReply = (error: unknown, revision: number): Reply => {
	const code = error instanceof ValeleadError ? error.code : RESULT_CODE.Internal;
	return {code, message: (error as Error).message, revision};
};

const withFallback = async <Value>(call: () => Promise<Value>, onError: (error: unknown) => Value): Promise<Value> => {
	try {
		return await call();
	} catch (error) {
		return onError(error);
	}
};

/** Creates the control service for grpc-js. Every call ends with a result code instead of a gRPC error. */
export const newControlService = (parts: ServiceParts): UntypedServiceImplementation => {
	const service = new ControlService(parts);
	const session: handleBidiStreamingCall<SessionReport, SessionUpdate> = stream => {
		parts.sessions.accept(stream);
	};

	return {
		session,
		async execute(call: ServerUnaryCall<ExecuteRequest, unknown>, send: sendUnaryData<unknown>) {
			const reply = await withFallback(async () => service.execute(call.request), error => newErrorReply(error, service.revision));
			send(null, create(ExecuteReplySchema, {...reply, leaderAddress: service.leaderAddress}));
		},
		query(call: ServerUnaryCall<QueryRequest, unknown>, send: sendUnaryData<unknown>) {
			const {leaderAddress, revision} = service;
			try {
				const rows = service.query(call.request);
				send(null, create(QueryReplySchema, {rows, leaderAddress, revision}));
			} catch (error) {
				send(null, create(QueryReplySchema, {...newErrorReply(error, revision), leaderAddress}));
			}
		},
		async claim(call: ServerUnaryCall<ClaimRequest, unknown>, send: sendUnaryData<unknown>) {
			const reply = await withFallback(async () => service.claim(call.request), error => create(ClaimReplySchema, {code: newErrorReply(error, 0).code, leaderAddress: service.leaderAddress}));
			send(null, reply);
		},
	};
};
