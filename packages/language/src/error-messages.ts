import type {IParserErrorMessageProvider, TokenType} from 'chevrotain';

const TOKEN_TEXTS: Readonly<Record<string, string>> = {
	Word: 'a name',
	Quoted: 'a quoted name',
	Semicolon: 'a semicolon',
	Comma: 'a comma',
	Operator: 'one of = != < <= > >= ~',
	Flag: 'repeatable, not repeatable or read only',
	Connector: 'of, on or for',
	Where: 'where',
	And: 'and',
	Order: 'order',
	By: 'by',
	Limit: 'limit',
};

const getText = (token: TokenType): string => TOKEN_TEXTS[token.name] ?? token.name.toLowerCase();

const getTexts = (tokens: ReadonlyArray<TokenType | undefined>): string => {
	const texts = tokens.filter(token => token !== undefined).map(token => getText(token));
	return [...new Set(texts)].join(' or ');
};

/** Messages for syntax errors. Each describes the input that the parser expected at the position of the error. */
export const ERROR_MESSAGES: IParserErrorMessageProvider = {
	buildMismatchTokenMessage: ({expected}) => getText(expected),
	buildNotAllInputParsedMessage: () => 'an attribute, a semicolon or the end',
	buildNoViableAltMessage: ({expectedPathsPerAlt}) => getTexts(expectedPathsPerAlt.flat().map(path => path[0])),
	buildEarlyExitMessage: ({expectedIterationPaths}) => getTexts(expectedIterationPaths.map(path => path[0])),
};
