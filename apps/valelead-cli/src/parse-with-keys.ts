import {randomBytes} from 'node:crypto';
import {hashKey} from '@valelead/access';
import {type Statement, parseStatements} from '@valelead/language';
import type {GeneratedKey} from './generated-key.js';

type ParsedText = {
	readonly statements: readonly Statement[];
	/** The generated keys, to be printed once. Only their hashes are sent to the leader. */
	readonly keys: readonly GeneratedKey[];
};

const KEY_BYTES = 24;

const newKey = (): string => `vl_${randomBytes(KEY_BYTES).toString('base64url')}`;

/** Parses statements, and generates a key for each statement that creates a key or an operator without a hash. */
export const parseWithKeys = (text: string): ParsedText => {
	const byHash = new Map<string, string>();
	const statements = parseStatements(text, () => {
		const key = newKey();
		byHash.set(hashKey(key), key);
		return hashKey(key);
	});
	const keys: GeneratedKey[] = [];
	for (const statement of statements) {
		if (statement.kind === 'change' && (statement.command.kind === 'createKey' || statement.command.kind === 'createOperator')) {
			const key = byHash.get(statement.command.hash);
			keys.push(...(key === undefined ? [] : [{name: statement.command.name, key}]));
		}
	}

	return {statements, keys};
};
