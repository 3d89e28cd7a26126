import {EmbeddedActionsParser, type IToken} from 'chevrotain';
import {ERROR_MESSAGES} from './error-messages.js';
import {TOKENS} from './tokens.js';
import type {Condition} from './condition.js';
import type {Explain} from './explain.js';
import type {ParsedAttribute} from './parsed-attribute.js';
import type {ParsedChange} from './parsed-change.js';
import type {ParsedWord} from './parsed-word.js';
import type {Show} from './show.js';
import type {SortKey} from './sort-key.js';

/** A `show` statement before its listing name is validated. */
type ParsedShow = Show & {readonly listingWord: ParsedWord};

type Parsed = ParsedChange | ParsedShow | Explain;

const newParsedWord = (token: IToken): ParsedWord => ({
	text: token.tokenType === TOKENS.Quoted ? token.image.slice(1, -1) : token.image.replaceAll(/\s+/gv, ' '),
	column: token.startColumn ?? 1,
	line: token.startLine ?? 1,
});

/** Grammar of the operator language. The attributes that each statement accepts are defined in `statements/` and checked after parsing. */
export class StatementParser extends EmbeddedActionsParser {
	readonly statements = this.RULE('statements', (): Parsed[] => {
		const parsed: Parsed[] = [];
		this.MANY_SEP({
			SEP: TOKENS.Semicolon,
			DEF: () => {
				const statement = this.OPTION(() => this.SUBRULE(this.#statement));
				if (statement) {
					parsed.push(statement);
				}
			},
		});
		return parsed;
	});

	readonly #value = this.RULE('value', (): ParsedWord => this.OR([
		{ALT: () => newParsedWord(this.CONSUME(TOKENS.Word))},
		{ALT: () => newParsedWord(this.CONSUME(TOKENS.Quoted))},
	]));

	readonly #attribute = this.RULE('attribute', (): ParsedAttribute => this.OR([
		{ALT: () => ({name: newParsedWord(this.CONSUME(TOKENS.Flag)), values: []})},
		{
			ALT: () => {
				const name = newParsedWord(this.CONSUME(TOKENS.Word));
				const values: ParsedWord[] = [];
				this.AT_LEAST_ONE_SEP({
					SEP: TOKENS.Comma,
					DEF: () => {
						values.push(this.SUBRULE(this.#value));
					},
				});
				return {name, values};
			},
		},
	]));

	readonly #condition = this.RULE('condition', (): Condition => {
		const field = this.CONSUME(TOKENS.Word).image;
		const operator = this.CONSUME(TOKENS.Operator).image;
		const value = this.SUBRULE(this.#value);
		return {field, operator, value: value.text};
	});

	readonly #sortKey = this.RULE('sortKey', (): SortKey => {
		const field = this.CONSUME(TOKENS.Word).image;
		const direction = this.OPTION(() => this.CONSUME(TOKENS.Direction));
		return {field, isDescending: direction?.image === 'desc'};
	});

	readonly #show = this.RULE('show', (): ParsedShow => {
		this.CONSUME(TOKENS.Show);
		const listingWord = newParsedWord(this.CONSUME(TOKENS.Word));
		const conditions: Condition[] = [];
		const order: SortKey[] = [];
		this.OPTION(() => {
			this.CONSUME(TOKENS.Where);
			this.AT_LEAST_ONE_SEP({
				SEP: TOKENS.And,
				DEF: () => {
					conditions.push(this.SUBRULE(this.#condition));
				},
			});
		});
		this.OPTION2(() => {
			this.CONSUME(TOKENS.Order);
			this.CONSUME(TOKENS.By);
			this.AT_LEAST_ONE_SEP2({
				SEP: TOKENS.Comma,
				DEF: () => {
					order.push(this.SUBRULE(this.#sortKey));
				},
			});
		});
		const limit = this.OPTION3(() => {
			this.CONSUME(TOKENS.Limit);
			return this.CONSUME2(TOKENS.Word).image;
		});
		return {
			kind: 'show', listing: listingWord.text, listingWord, conditions, order, ...(limit !== undefined && {limit: Number(limit)}),
		};
	});

	readonly #explain = this.RULE('explain', (): Explain => {
		this.CONSUME(TOKENS.Explain);
		this.CONSUME(TOKENS.Word);
		return {kind: 'explain', model: this.SUBRULE(this.#value).text};
	});

	readonly #change = this.RULE('change', (): ParsedChange => {
		const verb = newParsedWord(this.CONSUME(TOKENS.Word));
		const object = newParsedWord(this.CONSUME2(TOKENS.Word));
		const name = this.SUBRULE(this.#value);
		const owner = this.OPTION(() => {
			this.CONSUME(TOKENS.Connector);
			const ownerObject = newParsedWord(this.CONSUME3(TOKENS.Word));
			return {ownerObject, ownerName: this.SUBRULE2(this.#value)};
		});
		const attributes: ParsedAttribute[] = [];
		this.MANY(() => {
			attributes.push(this.SUBRULE(this.#attribute));
		});
		return {
			kind: 'change', verb, object, name, ownerObject: owner?.ownerObject, ownerName: owner?.ownerName, attributes,
		};
	});

	/** Keywords are also valid words, so `show` and `explain` are tried before the statements that begin with any word. */
	readonly #statement = this.RULE('statement', (): Parsed => this.OR<Parsed>({
		DEF: [
			{ALT: (): Parsed => this.SUBRULE(this.#show)},
			{ALT: (): Parsed => this.SUBRULE(this.#explain)},
			{ALT: (): Parsed => this.SUBRULE(this.#change)},
		],
		IGNORE_AMBIGUITIES: true,
	}));

	constructor() {
		super(Object.values(TOKENS), {maxLookahead: 1, errorMessageProvider: ERROR_MESSAGES});
		this.performSelfAnalysis();
	}
}
