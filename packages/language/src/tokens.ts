import {createToken, Lexer, type TokenType} from 'chevrotain';

/** Matches names, numbers with units, ranges and keywords. */
const Word = createToken({name: 'Word', pattern: /[A-Za-z\d][\w.-]*/u});
const WhiteSpace = createToken({
	name: 'WhiteSpace', pattern: /\s+/u, group: Lexer.SKIPPED, line_breaks: true,
});
const Comment = createToken({name: 'Comment', pattern: /--[^\n]*/u, group: Lexer.SKIPPED});
const Quoted = createToken({name: 'Quoted', pattern: /'[^'\n]*'/u});
const Semicolon = createToken({name: 'Semicolon', pattern: /;/u});
const Comma = createToken({name: 'Comma', pattern: /,/u});
const Operator = createToken({name: 'Operator', pattern: /!=|<=|>=|[=<>~]/u});

/** Creates a keyword token. Keywords are also words, so that objects can be named like keywords. */
const newKeyword = (name: string, pattern: RegExp): TokenType => createToken({
	name, pattern, longer_alt: Word, categories: [Word],
});

const Show = newKeyword('Show', /show/u);
const Explain = newKeyword('Explain', /explain/u);
const Connector = newKeyword('Connector', /of|on|for/u);
const Where = newKeyword('Where', /where/u);
const And = newKeyword('And', /and/u);
const Order = newKeyword('Order', /order/u);
const By = newKeyword('By', /by/u);
const Limit = newKeyword('Limit', /limit/u);
const Direction = newKeyword('Direction', /asc|desc/u);
const Flag = createToken({
	name: 'Flag', pattern: /not\s+repeatable|repeatable|read\s+only/u, longer_alt: Word, line_breaks: true,
});
const DataCentre = createToken({
	name: 'DataCentre', pattern: /data\s+centre/u, longer_alt: Word, categories: [Word], line_breaks: true,
});

/** The tokens of the operator language, in the order in which the lexer tries them. */
export const TOKENS = {
	WhiteSpace,
	Comment,
	Quoted,
	Semicolon,
	Comma,
	Operator,
	Flag,
	DataCentre,
	Show,
	Explain,
	Connector,
	Where,
	And,
	Order,
	By,
	Limit,
	Direction,
	Word,
} as const;
