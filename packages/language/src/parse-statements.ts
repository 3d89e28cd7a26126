import {RESULT_CODE, ValeleadError} from '@valelead/common';
import {type Command, decodeCommands} from '@valelead/intent';
import {Lexer} from 'chevrotain';
import {ATTRIBUTE_PARSERS} from './attribute-parsers.js';
import {LISTINGS} from './listings.js';
import {newSyntaxError} from './new-syntax-error.js';
import {STATEMENT_KINDS} from './statement-kinds.js';
import {StatementParser} from './statement-parser.js';
import {TOKENS} from './tokens.js';
import type {ParsedChange} from './parsed-change.js';
import type {Statement} from './statement.js';
import type {StatementKind} from './statement-kind.js';

const LEXER = new Lexer(Object.values(TOKENS));
const PARSER = new StatementParser();

const getStatementKind = (change: ParsedChange): StatementKind => {
	const kindsOfVerb = STATEMENT_KINDS.filter(kind => kind.verb === change.verb.text);
	if (kindsOfVerb.length === 0) {
		const verbs = [...new Set(STATEMENT_KINDS.map(kind => kind.verb))];
		throw newSyntaxError(change.verb, change.verb.text, `one of ${[...verbs, 'show', 'explain'].join(', ')}`);
	}

	const kind = kindsOfVerb.find(candidate => candidate.object === change.object.text);
	if (!kind) {
		throw newSyntaxError(change.object, change.object.text, `one of ${kindsOfVerb.map(candidate => candidate.object).join(', ')}`);
	}

	return kind;
};

const checkOwner = (change: ParsedChange, kind: StatementKind): void => {
	const found = change.ownerObject?.text ?? '';
	if (found !== kind.owner) {
		const position = change.ownerObject ?? change.name;
		throw newSyntaxError(position, found, kind.owner === '' ? 'no owner' : `the ${kind.owner} that it belongs to`);
	}
};

const getFields = (change: ParsedChange, kind: StatementKind): Record<string, unknown> => {
	const fields: Record<string, unknown> = {};
	for (const {name, values} of change.attributes) {
		if (!kind.attributes.includes(name.text)) {
			const expected = kind.attributes.length === 0 ? 'the end of the statement' : `one of ${kind.attributes.join(', ')}`;
			throw newSyntaxError(name, name.text, expected);
		}

		Object.assign(fields, ATTRIBUTE_PARSERS[name.text](values));
	}

	return fields;
};

/** Validates a command against its schema. Throws InvalidCommand with the position of the statement's first word if a value is invalid. */
const checkCommand = (change: ParsedChange, command: Readonly<Record<string, unknown>>): Command => {
	try {
		const [checked] = decodeCommands(JSON.stringify([command]));
		return checked;
	} catch (error) {
		const {line, column} = change.verb;
		throw new ValeleadError(`line ${line}, column ${column}: ${(error as Error).message}`, {code: RESULT_CODE.InvalidCommand});
	}
};

const toStatement = (change: ParsedChange, newHash: (() => string) | undefined): Statement => {
	const kind = getStatementKind(change);
	checkOwner(change, kind);
	const fields = getFields(change, kind);
	if (newHash && kind.attributes.includes('hash')) {
		fields.hash ??= newHash();
	}

	const command = kind.newCommand({name: change.name.text, owner: change.ownerName?.text ?? '', fields});
	return {kind: 'change', command: checkCommand(change, command)};
};

/**
 * Parses statements separated by semicolons. Throws a ValeleadError with a result code; the message of a syntax error names the line, the column
 * and the expected input.
 * @param newHash - Generates the hash for statements that create a key or an operator without one.
 */
export const parseStatements = (text: string, newHash?: () => string): Statement[] => {
	const {tokens, errors} = LEXER.tokenize(text);
	if (errors[0]) {
		const {line, column, offset} = errors[0];
		throw newSyntaxError({line: line ?? 1, column: column ?? 1}, text.slice(offset, offset + 1), 'a word, a quoted name or a sign');
	}

	PARSER.input = tokens;
	const parsed = PARSER.statements();
	const [error] = PARSER.errors;
	if (error) {
		const {startLine, startColumn, image} = error.token;
		const last = tokens.at(-1);
		const isAtEnd = !startColumn;
		const endColumn = (last?.endColumn ?? 0) + 1;
		throw newSyntaxError({line: isAtEnd ? (last?.endLine ?? 1) : startLine!, column: isAtEnd ? endColumn : startColumn}, image, error.message);
	}

	return parsed.map(statement => {
		if (statement.kind === 'change') {
			return toStatement(statement, newHash);
		}

		if (statement.kind === 'explain') {
			return statement;
		}

		const {listingWord, ...show} = statement;
		if (!LISTINGS.includes(show.listing)) {
			throw newSyntaxError(listingWord, show.listing, `one of ${LISTINGS.join(', ')}`);
		}

		if (show.limit !== undefined && !Number.isSafeInteger(show.limit)) {
			throw new ValeleadError('limit takes a whole number', {code: RESULT_CODE.SyntaxError});
		}

		return show;
	});
};
