import assert from 'node:assert/strict';
import {
	Given, setWorldConstructor, Then, When,
} from '@cucumber/cucumber';
import {InstallationWorld} from './support/installation-world.js';

setWorldConstructor(InstallationWorld);

const getTokens = (text: string): number => [...text.matchAll(/t\d+|\|/gv)].length;

Given('an installation with {int} engine(s) and {int} service(s)', async function (this: InstallationWorld, engines: number, services: number) {
	await this.start({engines, services});
	await this.configure('mill');
});

When('team {string} asks entry {int} for {int} tokens of cold model {string} as a stream', async function (this: InstallationWorld, _team: string, entry: number, tokens: number, model: string) {
	this.answers = [await this.installation.complete(entry - 1, this.key, {
		model, stream: true, max_tokens: tokens, messages: [{role: 'user', content: 'x'}],
	})];
});

When('team {string} asks entry {int} for {int} tokens of adapter {string} as one piece', async function (this: InstallationWorld, _team: string, entry: number, tokens: number, model: string) {
	this.answers = [await this.installation.complete(entry - 1, this.key, {model, max_tokens: tokens, messages: [{role: 'user', content: 'x'}]})];
});

Then('the answer is whole and holds {int} tokens', function (this: InstallationWorld, tokens: number) {
	const [answer] = this.answers;
	assert.equal(answer?.status, 200, answer?.text);
	assert.ok(answer.isComplete);
	assert.equal(getTokens(answer.text), tokens);
	assert.ok(answer.headers['content-length'] !== undefined || answer.text.endsWith('data: [DONE]\n\n'));
});

When('team {string} sends hold {string} to entry {int} and again to entry {int}', async function (this: InstallationWorld, _team: string, key: string, first: number, second: number) {
	for (const entry of [first, second]) {
		this.answers.push(await this.installation.callService(entry - 1, this.key, 'holds/reserve', '{"costume":1}', key));
	}
});

Then('both answers are the same and the service ran it once', async function (this: InstallationWorld) {
	const [first, second] = this.answers;
	assert.equal(first?.status, 200, first?.text);
	assert.equal(second?.text, first.text);
	assert.equal(second.headers['idempotent-replayed'], 'true');
	const {ran} = await this.installation.getBooks<{ran: unknown[]}>(this.installation.services[0].port);
	assert.equal(ran.length, 1);
});

Then('the answer is refused with code {int} and outcome {string}', function (this: InstallationWorld, code: number, outcome: string) {
	const {error} = JSON.parse(this.answers[0].text) as {error: {code: number; outcome: string}};
	assert.equal(error.code, code);
	assert.equal(error.outcome, outcome);
});
