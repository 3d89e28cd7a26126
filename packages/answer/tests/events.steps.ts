import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {Then, When} from '@cucumber/cucumber';
import * as fc from 'fast-check';
import {
	RESPONSE_DEFECT, type ResponseDefectValue, type ResponseFramingValue, EventSplitter, getResponseDefect,
} from '@valelead/answer';

type Event = {
	readonly bytes: Buffer;
	readonly id: string | undefined;
};

/** A stream, and the result of splitting it into events chunk by chunk. */
type SplitStream = {
	readonly events: readonly Event[];
	readonly unfinished: string;
	readonly passed: string;
	readonly rest: string;
	readonly lastEventId: string | undefined;
};

type EventsWorld = {
	streams: SplitStream[];
	defect: ResponseDefectValue | undefined;
};

const RUNS = 500;
const SEED = 55;

const EVENT = fc.record({
	id: fc.option(fc.integer({min: 0, max: 99}), {nil: undefined}),
	data: fc.string({unit: fc.constantFrom('a', ':', ' ', 'é'), maxLength: 5}),
	isCommented: fc.boolean(),
});

const STREAM = fc.record({
	events: fc.array(EVENT, {maxLength: 4}),
	lineEnd: fc.constantFrom('\n', '\r\n', '\r'),
	hasMark: fc.boolean(),
	unfinished: fc.constantFrom('', 'id: 7', 'data: x'),
	sizes: fc.array(fc.integer({min: 1, max: 7}), {minLength: 1}),
});

type StreamTerms = Parameters<Parameters<typeof STREAM.map>[0]>[0];

const newEvents = ({events, lineEnd, hasMark}: StreamTerms): Event[] => events.map(({id, data, isCommented}, index) => {
	const lines = [...(isCommented ? [': c'] : []), ...(id === undefined ? [] : [`id: ${id}`]), `data: ${data}`, '', ''];
	return {bytes: Buffer.from(`${hasMark && index === 0 ? '\uFEFF' : ''}${lines.join(lineEnd)}`), id: id === undefined ? undefined : String(id)};
});

const split = (terms: StreamTerms): SplitStream => {
	const events = newEvents(terms);
	const bytes = Buffer.concat([...events.map(event => event.bytes), Buffer.from(terms.unfinished)]);
	const splitter = new EventSplitter();
	const passed: Buffer[] = [];
	let lastEventId: string | undefined;
	let offset = 0;
	for (let index = 0; offset < bytes.length; index += 1) {
		const end = offset + terms.sizes[index % terms.sizes.length];
		const whole = splitter.addChunk(bytes.subarray(offset, end));
		passed.push(whole.bytes);
		lastEventId = whole.lastEventId ?? lastEventId;
		offset = end;
	}

	return {
		events, unfinished: terms.unfinished, passed: Buffer.concat(passed).toString(), rest: splitter.rest.toString(), lastEventId,
	};
};

When('random streams arrive in chunks of random sizes', function (this: EventsWorld) {
	this.streams = fc.sample(STREAM, {numRuns: RUNS, seed: SEED}).map(terms => split(terms));
});

Then('each complete event is passed on once, in order, and only the incomplete event remains', function (this: EventsWorld) {
	for (const {events, unfinished, passed, rest} of this.streams) {
		const whole = Buffer.concat(events.map(event => event.bytes)).toString();
		assert.equal(passed + rest, whole + unfinished);
		// The line feed of the last blank line may arrive in a later chunk than the carriage return that has ended the event.
		assert.ok(rest === unfinished || rest === `\n${unfinished}`, JSON.stringify(rest));
	}
});

Then('the last event id is that of the last complete event with an id', function (this: EventsWorld) {
	for (const {events, lastEventId} of this.streams) {
		assert.equal(lastEventId, events.findLast(({id}) => id !== undefined)?.id);
	}
});

/** The state of the event scanner at the end of the response, by the place named in the examples. */
const PLACES: Readonly<Record<string, Parameters<typeof getResponseDefect>[0]['events']>> = {
	'outside an event': {hasEvents: true, isOutsideEvent: true},
	'inside an event': {hasEvents: true, isOutsideEvent: false},
	'before the first event': {hasEvents: false, isOutsideEvent: true},
	'as no stream': undefined,
};

When('a response\'s framing is {string}, it is {string}, and it ended {string}', function (this: EventsWorld, framing: ResponseFramingValue, completeness: string, place: string) {
	this.defect = getResponseDefect({
		framing, isComplete: completeness !== 'incomplete', isEndedWithData: completeness === 'ended in the same turn', events: PLACES[place],
	});
});

Then('its defect is {string}', function (this: EventsWorld, name: string) {
	assert.equal(this.defect, name === 'none' ? undefined : RESPONSE_DEFECT[name as keyof typeof RESPONSE_DEFECT]);
});
