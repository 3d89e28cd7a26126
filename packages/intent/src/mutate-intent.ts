import {RESULT_CODE, ValeleadError} from '@valelead/common';
import {ACTIONS} from './actions.js';
import type {Command} from './command.js';
import type {CommandResult} from './command-result.js';
import type {Transaction} from './transaction.js';
import type {Intent} from './intent.js';
import type {Proposal} from './proposal.js';

/** Number of results kept to answer resent proposals; the oldest result is dropped first. */
const MAX_RESULTS = 10_000;

type CommandHandler = (transaction: Transaction, command: Command) => void;

const HANDLERS: ReadonlyMap<string, CommandHandler> = new Map(ACTIONS.map(action => [action.name, action.perform as CommandHandler]));

const mutateResults = (intent: Intent, commandId: string, result: CommandResult): CommandResult => {
	if (commandId === '') {
		return result;
	}

	intent.results.set(commandId, result);
	if (intent.results.size > MAX_RESULTS) {
		const [oldest] = intent.results.keys();
		intent.results.delete(oldest);
	}

	return result;
};

const mutateCommands = (intent: Intent, commands: readonly Command[]): CommandResult => {
	const transaction: Transaction = {intent, revision: intent.revision + 1, undo: []};
	try {
		for (const command of commands) {
			HANDLERS.get(command.kind)!(transaction, command);
		}
	} catch (error) {
		for (const undo of transaction.undo.reverse()) {
			undo();
		}

		if (error instanceof ValeleadError) {
			return {code: error.code, message: error.message, revision: intent.revision};
		}

		throw error;
	}

	intent.revision = transaction.revision;
	return {code: RESULT_CODE.Ok, message: '', revision: transaction.revision};
};

/**
 * Applies all commands of a proposal or none of them. The function is deterministic, so that all replicas of the intent stay equal. For a proposal
 * that was applied before, it returns the first result.
 */
export const mutateIntent = (intent: Intent, proposal: Proposal): CommandResult => {
	const first = intent.results.get(proposal.commandId);
	if (first) {
		return first;
	}

	if (proposal.expectedRevision !== undefined && proposal.expectedRevision !== intent.revision) {
		return mutateResults(intent, proposal.commandId, {
			code: RESULT_CODE.RevisionConflict,
			message: `the revision is ${intent.revision}, not ${proposal.expectedRevision}`,
			revision: intent.revision,
		});
	}

	return mutateResults(intent, proposal.commandId, mutateCommands(intent, proposal.commands));
};
