import {
	mkdir, readFile, rm, writeFile,
} from 'node:fs/promises';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {callHttp} from './call-http.js';
import {getFreePorts} from './get-free-ports.js';
import {Program} from './program.js';
import {runProgram} from './run-program.js';
import type {HttpAnswer} from './http-answer.js';
import type {ProgramResult} from './program-result.js';
import type {InstallationOptions} from './installation-options.js';

type EntryProgram = {
	readonly program: Program;
	readonly httpPort: number;
	readonly adminPort: number;
	readonly controlAddress: string;
	readonly dataFolder: string;
};

type UpstreamProgram = {
	readonly vm: string;
	readonly agent: Program;
	readonly upstream: Program;
	readonly port: number;
	readonly adminPort: number;
};

const HOST = '127.0.0.1';
const POLL_MS = 20;
const READY_LIMIT_MS = 60_000;

const getFile = (relative: string): string => fileURLToPath(new URL(`../../${relative}`, import.meta.url));

const DAEMON = getFile('apps/valelead-daemon/dist/bin/valeleadd.mjs');
const TOOL = getFile('apps/valelead-cli/dist/bin/valelead.mjs');
const FAKES = getFile('fakes/dist/main.js');

/** Entries with voters, agents and stand-ins as separate processes on loopback. */
export class Installation {
	readonly entries: EntryProgram[] = [];
	readonly engines: UpstreamProgram[] = [];
	readonly services: UpstreamProgram[] = [];
	store: Program | undefined;
	storePort = 0;
	readonly #options: InstallationOptions;
	readonly #keyFile: string;

	constructor(options: InstallationOptions) {
		this.#options = options;
		this.#keyFile = path.join(options.folder, 'operator.key');
	}

	get keyFile(): string {
		return this.#keyFile;
	}

	get control(): string {
		return this.entries.map(entry => entry.controlAddress).join(',');
	}

	async start(): Promise<void> {
		await rm(this.#options.folder, {recursive: true, force: true});
		await mkdir(this.#options.folder, {recursive: true});
		await writeFile(this.#keyFile, 'operator-of-the-demonstration\n');
		await this.#startStore();
		await this.#addEntries(this.#options.entries ?? 3);
		for (const entry of this.entries) {
			entry.program.start();
		}

		for (let index = 0; index < (this.#options.engines ?? 2); index += 1) {
			await this.addUpstream('engine', index);
		}

		for (let index = 0; index < (this.#options.services ?? 1); index += 1) {
			await this.addUpstream('service', index);
		}

		await this.waitUntilReady();
	}

	/** Tries to start another agent with the settings of one that runs. */
	async startSecondAgent(engine: number): Promise<Program> {
		const {vm} = this.engines[engine];
		const program = this.#newProgram(`${vm}-second`, DAEMON, ['--settings', path.join(this.#options.folder, `${vm}.json`)]);
		program.start();
		return program;
	}

	/** Waits until every running process reports ready. */
	async waitUntilReady(): Promise<void> {
		const ports = [...this.entries.filter(entry => entry.program.isRunning), ...[...this.engines, ...this.services].filter(upstream => upstream.agent.isRunning)].map(part => part.adminPort);
		await this.waitFor('readiness', async () => {
			const answers = await Promise.all(ports.map(async port => callHttp({port, path: '/readyz'})));
			return answers.every(answer => answer.status === 200);
		});
	}

	/** Polls a condition until it holds; an error counts as not yet. */
	async waitFor(what: string, isMet: () => Promise<boolean>, limitMs = READY_LIMIT_MS): Promise<void> {
		const endsAt = Date.now() + limitMs;
		while (Date.now() < endsAt) {
			try {
				if (await isMet()) {
					return;
				}
			} catch {
				// Not yet.
			}

			await wait(POLL_MS);
		}

		throw new Error(`${what} was not reached in ${limitMs} ms`);
	}

	/** Runs the command-line tool. */
	async run(...parameters: string[]): Promise<ProgramResult> {
		return runProgram(TOOL, ['--control', this.control, '--key-file', this.#keyFile, ...parameters]);
	}

	/** Runs statements that must succeed and returns what the tool printed. */
	async exec(statements: string): Promise<string> {
		const {status, stdout, stderr} = await this.run('--output', 'json', 'exec', statements);
		if (status !== 0) {
			throw new Error(`valelead exec '${statements}' ended with ${status}: ${stderr}`);
		}

		return stdout;
	}

	/** Creates a team's key and returns it. */
	async createKey(team: string): Promise<string> {
		const {keys} = JSON.parse(await this.exec(`create key main for team ${team}`)) as {keys: Array<{key: string}>};
		return keys[0].key;
	}

	/** A completion through an entry. */
	async complete(entry: number, key: string, body: Readonly<Record<string, unknown>>, onData?: (text: string) => void): Promise<HttpAnswer> {
		return callHttp({
			port: this.entries[entry].httpPort,
			path: '/v1/chat/completions',
			method: 'POST',
			headers: {authorization: `Bearer ${key}`, 'content-type': 'application/json'},
			body: JSON.stringify(body),
			...(onData && {onData}),
		});
	}

	/** A call to a service through an entry. */
	async callService(entry: number, key: string, route: string, body: string, idempotencyKey?: string): Promise<HttpAnswer> {
		return callHttp({
			port: this.entries[entry].httpPort,
			path: `/services/${route}`,
			method: 'POST',
			headers: {authorization: `Bearer ${key}`, ...(idempotencyKey !== undefined && {'idempotency-key': idempotencyKey})},
			body,
		});
	}

	async getBooks<Books>(port: number): Promise<Books> {
		const answer = await callHttp({port, path: '/books'});
		return JSON.parse(answer.text) as Books;
	}

	/** The index of the entry whose voter leads. */
	async getLeader(): Promise<number> {
		const rows = JSON.parse(await this.exec('show voters')) as Array<{address: string; isLeader: boolean}>;
		const leader = rows.find(row => row.isLeader);
		return this.entries.findIndex(entry => entry.controlAddress === leader?.address);
	}

	/** Stops everything in order; returns the exit status of each daemon. */
	async stop(): Promise<Array<number | null>> {
		const daemons = [...[...this.engines, ...this.services].map(upstream => upstream.agent), ...this.entries.map(entry => entry.program)];
		const statuses = await Promise.all(daemons.map(async program => {
			program.signal('SIGCONT');
			program.signal('SIGTERM');
			return program.exited();
		}));
		await this.kill();
		return statuses;
	}

	/** Ends whatever still runs. */
	async kill(): Promise<void> {
		const programs = [
			...this.entries.map(entry => entry.program),
			...[...this.engines, ...this.services].flatMap(upstream => [upstream.agent, upstream.upstream]),
			...(this.store ? [this.store] : []),
		];
		await Promise.all(programs.map(async program => program.kill()));
	}

	async readLog(name: string): Promise<string> {
		return readFile(path.join(this.#options.folder, `${name}.log`), 'utf8');
	}

	/** Starts a stand-in and its agent. */
	async addUpstream(kind: 'engine' | 'service', index: number): Promise<void> {
		const [port, grpcPort, adminPort, guardPort] = await getFreePorts(4);
		const vm = `${kind}-${index + 1}`;
		const parameters = kind === 'engine'
			? ['engine', '--port', String(port), '--store-port', String(this.storePort), ...(this.#options.engineArguments ?? [])]
			: ['service', '--port', String(port), '--service', 'holds', ...(this.#options.serviceArguments ?? [])];
		const upstream = this.#newProgram(`${vm}-upstream`, FAKES, parameters);
		upstream.start();
		const agent = await this.#newDaemon(vm, {
			role: 'agent',
			vm,
			dataCentre: `dc-${(index % 3) + 1}`,
			admin: {host: HOST, port: adminPort},
			listen: `${HOST}:${grpcPort}`,
			guardPort,
			upstream: {host: HOST, port},
			controlAddresses: this.entries.map(entry => entry.controlAddress),
			statusMs: 100,
			settleMs: 300,
			...this.#options.agentSettings,
		});
		agent.start();
		this[kind === 'engine' ? 'engines' : 'services'].push({
			vm, agent, upstream, port, adminPort,
		});
	}

	async #startStore(): Promise<void> {
		const [port] = await getFreePorts(1);
		this.storePort = port!;
		this.store = this.#newProgram('store', FAKES, ['store', '--port', String(port), ...(this.#options.storeArguments ?? [])]);
		this.store.start();
	}

	async #addEntries(count: number): Promise<void> {
		const ports = await getFreePorts(count * 3);
		const controlAddresses = Array.from({length: count}, (_, index) => `${HOST}:${ports[(index * 3) + 2]}`);
		for (let index = 0; index < count; index += 1) {
			const [httpPort, adminPort] = [ports[index * 3], ports[(index * 3) + 1]];
			const vm = `entry-${index + 1}`;
			const dataFolder = path.join(this.#options.folder, vm);
			const settings = {
				role: 'entry',
				vm,
				dataCentre: `dc-${index + 1}`,
				http: {host: HOST, port: httpPort},
				admin: {host: HOST, port: adminPort},
				controlAddresses,
				operatorKeyFile: this.#keyFile,
				balancerDelayMs: 1000,
				voter: {
					listen: controlAddresses[index], dataFolder, policy: {assumedLoadMsPerGib: 50}, ...this.#options.voterSettings,
				},
				...this.#options.entrySettings,
			};
			const program = await this.#newDaemon(vm, settings);
			this.entries.push({
				program, httpPort, adminPort, controlAddress: controlAddresses[index], dataFolder,
			});
		}
	}

	async #newDaemon(vm: string, settings: Readonly<Record<string, unknown>>): Promise<Program> {
		const file = path.join(this.#options.folder, `${vm}.json`);
		await writeFile(file, JSON.stringify(settings, undefined, '\t'));
		return this.#newProgram(vm, DAEMON, ['--settings', file]);
	}

	#newProgram(name: string, file: string, parameters: readonly string[]): Program {
		return new Program(file, parameters, path.join(this.#options.folder, `${name}.log`));
	}
}
