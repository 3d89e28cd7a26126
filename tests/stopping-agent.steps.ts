import assert from 'node:assert/strict';
import {setTimeout as wait} from 'node:timers/promises';
import {Then, When} from '@cucumber/cucumber';
import type {InstallationWorld} from './support/installation-world.js';

const HTTP_OK = 200;

When('a caller sends entry {int} a call of {int} bytes, and the entry stands still for {int} ms while the agent of the service gets SIGTERM', async function (
	this: InstallationWorld,
	entry: number,
	bytes: number,
	stillMs: number,
) {
	const {program} = this.installation.entries[entry - 1];
	const [{agent}] = this.installation.services;
	// The service answers with the body of the call.
	const answering = this.installation.callService(entry - 1, this.key, 'holds/reserve', 'x'.repeat(bytes));
	await this.installation.waitFor('the call at the service', async () => {
		const ran = await this.getRan();
		return ran.length === 1;
	});
	program.signal('SIGSTOP');
	agent.signal('SIGTERM');
	await wait(stillMs);
	program.signal('SIGCONT');
	this.answers = [await answering];
	// A daemon whose last lines are not read in time kills itself, so the status does not tell whether it stopped as planned.
	await agent.exited();
	const log = await this.installation.readLog('service-1');
	assert.ok(log.includes('"event":"stopped"'), log);
});

Then('the caller gets the whole answer of at least {int} bytes', function (this: InstallationWorld, bytes: number) {
	const [answer] = this.answers;
	assert.equal(answer.status, HTTP_OK, answer.text.slice(0, 500));
	assert.ok(answer.isComplete && answer.text.length >= bytes, `${answer.text.length} bytes`);
});
