import assert from 'node:assert/strict';
import {setTimeout as wait} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {
	type EngineBooks, type HttpAnswer, type Program, callHttp,
} from '@valelead/fakes';
import {orElse} from './support/or-else.js';
import type {InstallationWorld} from './support/installation-world.js';

const GIB = 2 ** 30;
const MEMORY_BYTES = 3 * GIB;

const getBooks = async (world: InstallationWorld, engine: number): Promise<EngineBooks> => world.installation.getBooks(world.installation.engines[engine].port);

/** Calls back once an answer holds so many tokens, however they are cut into parts. */
const atToken = (count: number, act: () => void): (text: string) => void => {
	let tokens = 0;
	return text => {
		const before = tokens;
		tokens += [...text.matchAll(/^data: /gmv)].length;
		if (before < count && tokens >= count) {
			act();
		}
	};
};

const getDaemon = ({installation}: InstallationWorld, role: string, index: number): Program =>
	role === 'entry' ? installation.entries[index - 1].program : installation.engines[index - 1].agent;

const askTokens = async (world: InstallationWorld, entry: number, tokens: number, onData?: (text: string) => void): Promise<HttpAnswer> => world.installation.complete(entry, world.key, {
	model: 'alloy', stream: true, max_tokens: tokens, messages: [{role: 'user', content: 'x'}],
}, onData);

Given('an installation with 1 engine {string} that loads slowly', async function (this: InstallationWorld, option: string) {
	await this.start({
		engines: 1, services: 0, engineArguments: [option, `--memory-bytes=${MEMORY_BYTES}`], storeArguments: ['--ms-per-gib', '1500'],
	});
	await this.configure('mill');
});

Given('an installation with {int} engines and {int} service whose calls take {int} ms', async function (this: InstallationWorld, engines: number, services: number, ms: number) {
	await this.start({engines, services, serviceArguments: ['--work-ms', String(ms)]});
	await this.configure('mill');
});

When('a request waits for cold model {string} and the agent is killed in the middle of the load and started again', async function (this: InstallationWorld, _model: string) {
	const [engine] = this.installation.engines;
	const answering = askTokens(this, 0, 3);
	await this.installation.waitFor('the load', async () => {
		const books = await getBooks(this, 0);
		return books.orders.length === 1;
	});
	await engine.agent.kill();
	engine.agent.start();
	this.answers = [await answering];
});

Then('the request is answered', function (this: InstallationWorld) {
	assert.equal(this.answers[0].status, 200, this.answers[0].text);
	assert.ok(this.answers[0].text.includes('[DONE]'));
});

Then('the engine held at most its memory and one replica of {string}', async function (this: InstallationWorld, model: string) {
	const books = await getBooks(this, 0);
	assert.ok(books.peakMemoryBytes <= MEMORY_BYTES);
	assert.equal(books.peakMemoryBytes, GIB, `only one replica of ${model} was ever held`);
});

When('a second agent is started on the VM of engine {int}', async function (this: InstallationWorld, engine: number) {
	this.secondAgent = await this.installation.startSecondAgent(engine - 1);
});

Then('it ends with an error and the first goes on', async function (this: InstallationWorld) {
	assert.notEqual(await this.secondAgent.exited(), 0);
	assert.ok(this.installation.engines[0].agent.isRunning);
});

/** How long the first entry took for a request, by its own log. */
const getTookMs = async (world: InstallationWorld, requestId: string): Promise<number> => {
	let tookMs: number | undefined;
	await world.installation.waitFor('the end of the request in the log', async () => {
		const log = await world.installation.readLog('entry-1');
		const lines = log.split('\n').slice(0, -1).filter(text => text.includes('"request-ended"'));
		const line = lines.map(text => JSON.parse(text) as {requestId: string; tookMs: number}).find(other => other.requestId === requestId);
		tookMs = line?.tookMs;
		return tookMs !== undefined;
	});
	return tookMs!;
};

When('the agent of the service freezes and a hold is sent that has 2 seconds', async function (this: InstallationWorld) {
	await this.control.execute([{kind: 'alterClass', name: 'urgent', deadlineMs: 2000}], {commandId: 'short'});
	await this.installation.callService(0, this.key, 'holds/reserve', 'warm', 'warm');
	this.installation.services[0].agent.signal('SIGSTOP');
	this.answers = [await this.installation.callService(0, this.key, 'holds/reserve', 'frozen', 'frozen')];
	const {request_id: id} = (JSON.parse(this.answers[0].text) as {error: {request_id: string}}).error;
	this.tookMs = await getTookMs(this, id);
});

Then('the hold is answered in time', function (this: InstallationWorld) {
	assert.ok(this.tookMs < 2500, `the answer took ${this.tookMs} ms`);
	assert.notEqual(this.answers[0].status, 200);
});

When('the agent wakes', async function (this: InstallationWorld) {
	this.installation.services[0].agent.signal('SIGCONT');
	await wait(1500);
	// What the agent got while it was frozen lies before this one.
	await this.installation.waitFor('a hold through the agent', async () => {
		const answer = await this.installation.callService(0, this.key, 'holds/reserve', 'awake', 'awake');
		return answer.status === 200;
	});
});

Then('what was told "not run" did not run', async function (this: InstallationWorld) {
	const ran = await this.getRan();
	const {outcome} = this.getRefusal(this.answers[0]);
	assert.ok(outcome === 'unknown' || !ran.includes('frozen'), `told ${outcome}, ran ${ran.join(' ')}`);
	assert.ok(ran.filter(body => body === 'frozen').length <= 1);
});

When('entry {int} is killed in the middle of hold {string} and the hold is resent to entry {int}', async function (this: InstallationWorld, first: number, key: string, second: number) {
	const lost = orElse(this.installation.callService(first - 1, this.key, 'holds/reserve', key, key), undefined);
	await this.installation.waitFor('the hold at the service', async () => {
		const ran = await this.getRan();
		return ran.length === 1;
	});
	await this.installation.entries[first - 1].program.kill();
	await lost;
	this.answers = [await this.installation.callService(second - 1, this.key, 'holds/reserve', key, key)];
});

Then('the service ran the hold once at most and the caller is told the truth', async function (this: InstallationWorld) {
	const ran = await this.getRan();
	assert.equal(ran.length, 1);
	const [answer] = this.answers;
	assert.ok(answer.status === 200 || this.getRefusal(answer).outcome === 'unknown', answer.text);
});

When('the engine dies in the middle of a stream of {int} tokens', async function (this: InstallationWorld, tokens: number) {
	this.answers = [await askTokens(this, 0, tokens, atToken(20, () => {
		this.installation.engines[0].upstream.signal('SIGKILL');
	}))];
});

Then('the stream ends in an error event and never in {string}', function (this: InstallationWorld, end: string) {
	const [{text}] = this.answers;
	assert.ok(!text.includes(end));
	assert.ok(text.includes('event: error'), text.slice(-300));
	assert.ok(text.includes('"outcome":"unknown"'));
});

/** Sends requests one after another until told to stop. */
const keepAsking = (ask: (count: number) => Promise<HttpAnswer>): {answers: readonly HttpAnswer[]; stop: () => Promise<HttpAnswer[]>} => {
	const stopping = new AbortController();
	const answers: HttpAnswer[] = [];
	const run = async (): Promise<void> => {
		while (!stopping.signal.aborted) {
			answers.push(await ask(answers.length));
		}
	};

	const running = run();
	return {
		answers,
		async stop() {
			stopping.abort();
			await running;
			return answers;
		},
	};
};

When('the VM that serves {string} is drained under load', async function (this: InstallationWorld, _model: string) {
	await askTokens(this, 0, 2);
	const load = keepAsking(async count => askTokens(this, count % 3, 20));
	const [replica] = await this.control.list<{vm: string}>('replicas');
	this.drained = this.installation.engines.findIndex(engine => engine.vm === replica.vm);
	await wait(300);
	await this.control.execute([{kind: 'drain', target: 'vm', name: replica.vm}], {commandId: 'drain'});
	await wait(4000);
	const books = await getBooks(this, this.drained);
	this.ranBefore = books.ran.length;
	const {length} = load.answers;
	await wait(1000);
	await this.installation.waitFor('requests after the drain', async () => load.answers.length >= length + 10);
	this.answers = await load.stop();
});

Then('no request fails and the drained engine runs nothing 4 seconds later', async function (this: InstallationWorld) {
	for (const answer of this.answers) {
		assert.equal(answer.status, 200, answer.text);
		assert.ok(answer.text.includes('[DONE]'), answer.text);
	}

	const books = await getBooks(this, this.drained);
	assert.equal(books.ran.length, this.ranBefore);
});

/** As the platform's balancer does: an entry that is not ready gets no new request. */
const pickEntry = async (world: InstallationWorld): Promise<number> => {
	for (;;) {
		for (const [index, entry] of world.installation.entries.entries()) {
			const answer = await orElse(callHttp({port: entry.httpPort, path: '/readyz'}), undefined);
			if (answer?.status === 200) {
				return index;
			}
		}
	}
};

/** Tokens of the streams that go on meanwhile; the long ones last until they are cut off. */
const SHORT_STREAM = 40;
const LONG_STREAM = 400;

/** Ends and starts every daemon, one after another, while requests go on. */
const restartAll = async (world: InstallationWorld, tokens: number, end: (program: Program) => Promise<void>): Promise<HttpAnswer[]> => {
	const {entries, engines, services} = world.installation;
	await askTokens(world, 0, 2);
	const cut: HttpAnswer = {
		status: 0, headers: {}, text: 'connection lost', isComplete: false,
	};
	const streams = keepAsking(async () => orElse(askTokens(world, await pickEntry(world), tokens), cut));
	const holds = keepAsking(async count => orElse(world.installation.callService(await pickEntry(world), world.key, 'holds/reserve', `hold-${count}`, `hold-${count}`), cut));
	for (const program of [...entries.map(entry => entry.program), ...engines.map(engine => engine.agent), ...services.map(service => service.agent)]) {
		await end(program);
		program.start();
		await world.installation.waitUntilReady();
	}

	return [...await streams.stop(), ...await holds.stop()];
};

/** Waits until the engine beside an agent works on a request, where requests go there, so that the agent's end cuts it off. */
const waitForRequest = async (world: InstallationWorld, program: Program): Promise<void> => {
	const index = world.installation.engines.findIndex(({agent}) => agent === program);
	if (index === -1) {
		return;
	}

	const {ran} = await getBooks(world, index);
	if (ran.length > 0) {
		await world.installation.waitFor('a request in progress', async () => {
			const books = await getBooks(world, index);
			return books.inProgress > 0;
		});
	}
};

const isCut = (answer: HttpAnswer): boolean => answer.status === 0 || (answer.status === 200 && (!answer.isComplete || answer.text.includes('event: error')));

When('every daemon is stopped as planned and started again while holds and streams go on', async function (this: InstallationWorld) {
	this.answers = await restartAll(this, SHORT_STREAM, async program => {
		program.signal('SIGTERM');
		assert.equal(await program.exited(), 0);
	});
});

When('every daemon is killed and started again while holds and streams go on', async function (this: InstallationWorld) {
	this.answers = await restartAll(this, LONG_STREAM, async program => {
		await waitForRequest(this, program);
		await program.kill();
	});
});

Then('a request in progress was cut off', function (this: InstallationWorld) {
	const isHarmed = this.answers.some(answer => isCut(answer) || (answer.status !== 200 && this.getRefusal(answer).outcome === 'unknown'));
	assert.ok(isHarmed);
});

Then('no request in progress was cut off', function (this: InstallationWorld) {
	assert.ok(this.answers.length > 20, `only ${this.answers.length} requests were tried`);
	for (const answer of this.answers) {
		const isAnswered = answer.status === 200 && !isCut(answer);
		assert.ok(isAnswered || (!isCut(answer) && this.getRefusal(answer).outcome === 'not_run'), `${answer.status} ${answer.text.slice(-300)}`);
	}

	const served = this.answers.filter(answer => answer.status === 200).length;
	assert.ok(served > this.answers.length * 0.8, `${served} of ${this.answers.length} were served`);
});

When('{word} {int} gets {word} in the middle of a stream of {int} tokens, and again {int} ms later', async function (
	this: InstallationWorld,
	role: string,
	index: number,
	signal: string,
	tokens: number,
	gapMs: number,
) {
	const program = getDaemon(this, role, index);
	let second: Promise<void> | undefined;
	const sendTwice = async (): Promise<void> => {
		program.signal(signal as NodeJS.Signals);
		await wait(gapMs);
		program.signal(signal as NodeJS.Signals);
	};

	this.answers = [await askTokens(this, 0, tokens, atToken(20, () => {
		second = sendTwice();
	}))];
	assert.ok(second, 'no signal was sent');
	await second;
});

Then('{word} {int} ended with status {int}', async function (this: InstallationWorld, role: string, index: number, status: number) {
	assert.equal(await getDaemon(this, role, index).exited(), status);
});

When('team {string} is added with its own key', async function (this: InstallationWorld, team: string) {
	await this.installation.exec(`create team ${team}; create service other class urgent teams ${team} not repeatable`);
	this.otherKey = await this.installation.createKey(team);
});

Then('team {string} can neither see nor use what belongs to team {string}', async function (this: InstallationWorld, _other: string, _owner: string) {
	const models = await callHttp({port: this.installation.entries[0].httpPort, path: '/v1/models', headers: {authorization: `Bearer ${this.otherKey}`}});
	assert.deepEqual((JSON.parse(models.text) as {data: unknown[]}).data, []);
	const completion = await this.installation.complete(0, this.otherKey, {model: 'alloy'});
	assert.equal(this.getRefusal(completion).code, 1003);
	const adapter = await this.installation.complete(0, this.otherKey, {model: 'alloy:bronze'});
	assert.equal(this.getRefusal(adapter).code, 1003);
	const hold = await this.installation.callService(0, this.otherKey, 'holds/reserve', 'x', 'k');
	assert.equal(this.getRefusal(hold).code, 1004);
	const stranger = await this.installation.complete(0, 'no-such-key', {model: 'alloy'});
	assert.equal(this.getRefusal(stranger).code, 1002);
	const metrics = await callHttp({port: this.installation.entries[0].httpPort, path: '/metrics', headers: {authorization: `Bearer ${this.otherKey}`}});
	assert.equal(metrics.status, 404);
});

Then('the same idempotency key of both teams names two requests', async function (this: InstallationWorld) {
	await this.control.execute([{kind: 'alterService', name: 'holds', teams: ['mill', 'house']}], {commandId: 'share'});
	await this.installation.waitFor('the change in force', async () => {
		const probe = await this.installation.callService(0, this.otherKey, 'holds/reserve', 'probe', 'probe');
		return probe.status === 200;
	});
	const first = await this.installation.callService(0, this.key, 'holds/reserve', 'of mill', 'same');
	const second = await this.installation.callService(0, this.otherKey, 'holds/reserve', 'of house', 'same');
	assert.ok(first.text.includes('of mill') && second.text.includes('of house'), `${first.text} ${second.text}`);
});
