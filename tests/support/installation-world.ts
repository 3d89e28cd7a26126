import {mkdtemp} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {After, setDefaultTimeout, World} from '@cucumber/cucumber';
import {
	type HttpAnswer, type InstallationOptions, type Program, Installation, ControlClient,
} from '@valelead/fakes';
import type {ExecuteReply} from '@valelead/protocol';

const STEP_TIMEOUT_MS = 120_000;

setDefaultTimeout(STEP_TIMEOUT_MS);

/** A scenario's own installation and what its steps remember. */
export class InstallationWorld extends World {
	installation!: Installation;
	control!: ControlClient;
	key = '';
	answers: HttpAnswer[] = [];
	/** Index of the entry whose voter a step stopped. */
	stopped = -1;
	replies: ExecuteReply[] = [];
	secondAgent!: Program;
	tookMs = 0;
	/** Index of the engine that was drained, and what it had run by then. */
	drained = -1;
	ranBefore = 0;
	otherKey = '';

	async start(options: Omit<InstallationOptions, 'folder'>): Promise<void> {
		const folder = await mkdtemp(path.join(tmpdir(), 'valelead-test-'));
		this.installation = new Installation({folder, ...options});
		await this.installation.start();
		this.control = new ControlClient(this.installation);
	}

	/** A team with a key, a model with an adapter, and a service whose calls may not be repeated. */
	async configure(team: string): Promise<void> {
		const statements = [
			'create class urgent deadline 15s weight 3',
			`create team ${team}`,
			`create model alloy memory 1GiB replicas 0..1 class urgent teams ${team}`,
			'create adapter bronze on model alloy memory 128MiB',
			`create service holds class urgent teams ${team} not repeatable`,
		];
		await this.installation.exec(statements.join('; '));
		this.key = await this.installation.createKey(team);
	}

	/** The code and outcome of a refusal. */
	getRefusal(answer: HttpAnswer): {code: number; outcome: string} {
		const {error} = JSON.parse(answer.text) as {error: {code: number; outcome: string}};
		return error;
	}

	async getRan(): Promise<string[]> {
		const books = await Promise.all(this.installation.services.map(async service => this.installation.getBooks<{ran: Array<{body: string}>}>(service.port)));
		return books.flatMap(book => book.ran.map(call => call.body));
	}
}

After(async function (this: Partial<InstallationWorld>) {
	this.control?.close();
	await this.installation?.kill();
});
