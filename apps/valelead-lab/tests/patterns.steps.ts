import assert from 'node:assert/strict';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout} from 'node:timers/promises';
import {After, Then, When} from '@cucumber/cucumber';
import {ValeleadError} from '@valelead/common';
import {PatternPlays} from './pattern-plays.js';
import {type Pattern, type PlayFigures, readPattern} from 'valelead-lab';

type LabWorld = {
	/** Undefined in scenarios that play no pattern. */
	patternPlays: PatternPlays | undefined;
	pattern: Pattern;
	first: number;
	plays: PlayFigures[];
	playsBeforeEnd: number;
	refusal: ValeleadError;
};

/** Ends the plays of a scenario with it, also after a time-out. */
const endPlays = async ({patternPlays}: LabWorld): Promise<void> => {
	await patternPlays?.stop();
};

After(async function (this: LabWorld) {
	await endPlays(this);
});

const getMean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

When('the pattern {string} is played with seeds {int} to {int}', {timeout: 120_000}, async function (this: LabWorld, name: string, first: number, last: number) {
	this.pattern = readPattern(name);
	this.first = first;
	this.patternPlays = new PatternPlays();
	this.plays = await this.patternPlays.play(this.pattern, first, last);
});

Then('at least {float} of the {string} requests are in time', function (this: LabWorld, share: number, className: string) {
	const inTime = getMean(this.plays.map(figures => figures.classes[className].inTime));
	assert.ok(inTime >= share, String(inTime));
});

Then('at most {float} of the {string} requests are held in vain', function (this: LabWorld, share: number, className: string) {
	const inVain = getMean(this.plays.map(figures => figures.classes[className].inVain));
	assert.ok(inVain <= share, String(inVain));
});

Then('at most {float} of all requests are not served', function (this: LabWorld, share: number) {
	const unserved = getMean(this.plays.map(figures => figures.unserved));
	assert.ok(unserved <= share, String(unserved));
});

Then('at most {int} orders are refused by engines', function (this: LabWorld, count: number) {
	const refused = getMean(this.plays.map(figures => figures.refusedOrders));
	assert.ok(refused <= count, String(refused));
});

Then('at most {int} engines crash under requests', function (this: LabWorld, count: number) {
	const crashes = getMean(this.plays.map(figures => figures.crashes));
	assert.ok(crashes <= count, String(crashes));
});

Then('{int} requests are quarantined in each play', function (this: LabWorld, count: number) {
	assert.deepEqual(this.plays.map(figures => figures.quarantined), this.plays.map(() => count));
});

Then('playing it again gives the same figures', {timeout: 120_000}, async function (this: LabWorld) {
	assert.deepEqual(await this.patternPlays!.play(this.pattern, this.first, this.first), this.plays);
});

When('the pattern {string} is played with seeds {int} to {int} until its scenario ends after {int} ms', async function (
	this: LabWorld,
	name: string,
	first: number,
	last: number,
	ms: number,
) {
	this.patternPlays = new PatternPlays();
	void this.patternPlays.play(readPattern(name), first, last);
	await setTimeout(ms);
	this.playsBeforeEnd = this.patternPlays.count;
	await endPlays(this);
});

Then('{int} plays were running, and none is after it', function (this: LabWorld, count: number) {
	assert.equal(this.playsBeforeEnd, count);
	assert.equal(this.patternPlays!.count, 0);
});

When('a pattern file without engines is read', function (this: LabWorld) {
	const file = path.join(mkdtempSync(path.join(tmpdir(), 'pattern-')), 'faulty.json');
	writeFileSync(file, JSON.stringify({...readPattern('steady-tail'), engines: undefined}));
	try {
		readPattern(file);
	} catch (error) {
		this.refusal = error as ValeleadError;
	}
});

Then('it is refused with code {int} and {string}', function (this: LabWorld, code: number, word: string) {
	assert.ok(this.refusal instanceof ValeleadError);
	assert.equal(this.refusal.code, code);
	assert.match(this.refusal.message, new RegExp(word));
});
