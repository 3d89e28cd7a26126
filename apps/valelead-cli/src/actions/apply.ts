import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {RESULT_CODE, ValeleadError} from '@valelead/common';
import {type Command, decodeCommands} from '@valelead/intent';
import {parseStatements} from '@valelead/language';
import {waitUntilInForce} from '../wait-until-in-force.js';
import type {Action} from '../action.js';
import type {Connection} from '../connection.js';

type ApplyParameters = {
	readonly file: string;
	readonly isDryRun: boolean;
};

/** For each kind of create command: the listing of its objects, the field that names their owner, and the command that changes an existing one. */
const CREATE_COMMANDS: Readonly<Record<string, {readonly listing: string; readonly owner: string; readonly alter: string | undefined}>> = {
	createTeam: {listing: 'teams', owner: '', alter: 'alterTeam'},
	createClass: {listing: 'classes', owner: '', alter: 'alterClass'},
	createModel: {listing: 'models', owner: '', alter: 'alterModel'},
	createAdapter: {listing: 'adapters', owner: 'model', alter: 'alterAdapter'},
	createService: {listing: 'services', owner: '', alter: 'alterService'},
	createVersion: {listing: 'versions', owner: 'model', alter: undefined},
	createKey: {listing: 'keys', owner: 'team', alter: undefined},
	createOperator: {listing: 'operators', owner: '', alter: undefined},
};

const MAX_ATTEMPTS = 5;

type PlannedChange = {
	readonly line: string;
	readonly command: Command | undefined;
};

const planChange = async (connection: Connection, command: Command): Promise<PlannedChange> => {
	const creation = CREATE_COMMANDS[command.kind];
	const fields = command as unknown as Readonly<Record<string, string>>;
	const label = `${command.kind} ${fields.name ?? ''}`;
	if (!creation) {
		return {line: `! ${label}`, command};
	}

	const {rows} = await connection.query({
		kind: 'show', listing: creation.listing, conditions: [], order: [],
	});
	const isExisting = rows.some(row => row.name === fields.name && (creation.owner === '' || row[creation.owner] === fields[creation.owner]));
	if (!isExisting) {
		return {line: `+ ${label}`, command};
	}

	if (creation.alter === undefined) {
		return {line: `= ${label}`, command: undefined};
	}

	const [altered] = decodeCommands(JSON.stringify([{...command, kind: creation.alter}]));
	return {line: `~ ${creation.alter} ${fields.name}`, command: altered};
};

/** Changes the configuration to the state that a file declares, in one atomic change. Applying the same file again has no further effect. */
export const apply: Action<ApplyParameters> = {
	name: 'apply',
	async perform({connection, print, printProgress}, {file, isDryRun}) {
		const statements = parseStatements(readFileSync(file, 'utf8'));
		const commands = statements.filter(statement => statement.kind === 'change').map(statement => statement.command);
		for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
			const {revision: expectedRevision} = await connection.query({
				kind: 'show', listing: 'entries', conditions: [], order: [],
			});
			const planned: PlannedChange[] = [];
			for (const command of commands) {
				planned.push(await planChange(connection, command));
			}

			const changes = planned.map(item => item.command).filter(command => command !== undefined);
			try {
				const revision = await connection.execute(changes, {commandId: isDryRun ? '' : randomUUID(), isDryRun, ...(!isDryRun && {expectedRevision})});
				print([...planned.map(item => item.line), isDryRun ? 'dry run, nothing changed' : `ok, revision ${revision}`].join('\n'));
				if (!isDryRun) {
					await waitUntilInForce(connection, revision, printProgress);
				}

				return;
			} catch (error) {
				if (!(error instanceof ValeleadError) || error.code !== RESULT_CODE.RevisionConflict) {
					throw error;
				}
			}
		}

		throw new ValeleadError('Other changes kept coming first', {code: RESULT_CODE.RevisionConflict});
	},
};
