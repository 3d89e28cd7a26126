import {mkdtemp} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {After, setDefaultTimeout, World} from '@cucumber/cucumber';
import {type HttpAnswer, type InstallationOptions, Installation} from '@valelead/fakes';

const STEP_TIMEOUT_MS = 60_000;

setDefaultTimeout(STEP_TIMEOUT_MS);

/** A scenario's own installation and what its steps remember. */
export class InstallationWorld extends World {
	installation!: Installation;
	key = '';
	answers: HttpAnswer[] = [];

	async start(options: Omit<InstallationOptions, 'folder'>): Promise<void> {
		const folder = await mkdtemp(path.join(tmpdir(), 'valelead-test-'));
		this.installation = new Installation({folder, ...options});
		await this.installation.start();
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
}

After(async function (this: Partial<InstallationWorld>) {
	await this.installation?.kill();
});
