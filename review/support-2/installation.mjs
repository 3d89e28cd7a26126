// Starts the project's programs as the deploy file does, one process a role and machine, on loopback addresses.
import {spawn} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {
	mkdir, mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {fillTemplate} from './fill-template.mjs';

const ROOT = path.resolve(import.meta.dirname, '../..');

/** The bounds of `sites/fad-quito.toml`, as a process is told them. */
export const BOUNDS = JSON.parse(await readFile(path.join(import.meta.dirname, 'bounds.json'), 'utf8'));

export const HEARTBEAT_MS = 1200;

/** The platform starts a process that has ended again after this time. */
const RESTART_MS = 500;

const getFreePort = async host => new Promise((resolve, reject) => {
	const server = createServer();
	server.once('error', reject);
	server.listen(0, host, () => {
		const {port} = server.address();
		server.close(() => {
			resolve(port);
		});
	});
});

const readRoles = async () => {
	const text = await readFile(path.join(ROOT, 'deploy/system.toml'), 'utf8');
	const roles = new Map();
	for (const part of text.split('\n[roles.').slice(1)) {
		const [name] = part.split(']');
		const getText = key => new RegExp(`^${key} = "(.*)"$`, 'm').exec(part)[1];
		roles.set(name, {command: getText('run').split(' '), template: await readFile(path.join(ROOT, getText('template')), 'utf8')});
	}

	return roles;
};

/** A process of one role on one machine. */
class RoleProcess {
	#child;
	#ended;
	#isWanted = false;

	constructor(options) {
		this.options = options;
	}

	get pid() {
		return this.#child.pid;
	}

	async start() {
		const {command, settingsFile, logFile, fillSettings} = this.options;
		await writeFile(settingsFile, fillSettings());
		this.#isWanted = true;
		const log = createWriteStream(logFile, {flags: 'a'});
		const {PATH, HOME, LANG} = process.env;
		const child = spawn(command[0], command.slice(1), {
			cwd: ROOT, env: {
				PATH, HOME, LANG, VALELEAD_NODE_FILE: settingsFile,
			}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		child.stdout.pipe(log);
		child.stderr.pipe(log);
		this.#child = child;
		this.#ended = new Promise(resolve => {
			child.once('exit', (code, signal) => {
				resolve();
				if (this.#isWanted && signal !== 'SIGKILL' && this.#child === child) {
					this.options.onOwnEnd(this, code, signal);
				}
			});
		});
	}

	signal(name) {
		this.#child?.kill(name);
	}

	async kill() {
		this.#isWanted = false;
		this.#child.kill('SIGKILL');
		await this.#ended;
	}
}

/** Machines with the roles that the deploy file gives them. */
export class Installation {
	machines = [];
	ownEnds = [];
	#folder;
	#ports;
	#network;
	#roles;
	#isFirstStart = true;

	constructor() {
		// However a script ends, it takes its processes with it.
		process.once('exit', () => {
			for (const program of this.machines.flatMap(machine => [...machine.processes.values()])) {
				program.signal('SIGKILL');
			}
		});
		for (const name of ['SIGINT', 'SIGTERM']) {
			process.once(name, () => {
				process.exit(2);
			});
		}
	}

	/** @param layout - The machines: name, zone, roles, hasDisk, and for a machine beside an engine the address of the engine. */
	async start(layout) {
		this.#folder = await mkdtemp(path.join(tmpdir(), 'valelead-review-'));
		this.#roles = await readRoles();
		this.#network = 1 + (process.pid % 250);
		const host = this.getHost(1, 1);
		this.#ports = await Promise.all(Array.from({length: 9}, async () => getFreePort(host)));
		for (const [index, {group = 1, ...options}] of layout.entries()) {
			await this.#addMachine({...options, ip: this.getHost(group, index + 1)});
		}

		await Promise.all(this.machines.flatMap(machine => [...machine.processes.values()].map(async program => program.start())));
		this.#isFirstStart = false;
	}

	getHost(group, index) {
		return `127.${this.#network}.${group}.${index}`;
	}

	get controlPort() {
		return this.#ports[0];
	}

	get enginePort() {
		return this.#ports[5];
	}

	/** The machines that serve `control`, as the operator's list names them. */
	get controlAddresses() {
		return this.machines.filter(({processes}) => processes.has('controller')).map(({ip}) => `${ip}:${this.#ports[0]}`);
	}

	getFrontend({ip}) {
		return {host: ip, port: this.#ports[2]};
	}

	getReadiness({ip}) {
		return {host: ip, port: this.#ports[3]};
	}

	/** Kills all processes of a machine; the platform starts them again. Resolves with the time of that start. */
	async killAndRestart(machine, downMs = RESTART_MS) {
		await Promise.all([...machine.processes.values()].map(async program => program.kill()));
		await wait(downMs);
		await Promise.all([...machine.processes.values()].map(async program => program.start()));
		return Date.now();
	}

	getDataFolder({name}, role) {
		return path.join(this.#folder, name, role);
	}

	async readLog(machine, role) {
		return readFile(path.join(this.#folder, `${machine.name}-${role}.log`), 'utf8');
	}

	async stop() {
		await Promise.all(this.machines.flatMap(machine => [...machine.processes.values()].map(async program => program.kill())));
		if (process.env.KEEP_LOGS === undefined) {
			await rm(this.#folder, {recursive: true, force: true});
		} else {
			process.stderr.write(`logs are in ${this.#folder}\n`);
		}
	}

	async #addMachine({name, zone, roles, hasDisk = false, ip, app, service}) {
		const machine = {
			name, zone, ip, hasDisk, app, service, processes: new Map(),
		};
		this.machines.push(machine);
		for (const role of roles) {
			const {command, template} = this.#roles.get(role);
			const dataFolder = path.join(this.#folder, name, role);
			await mkdir(dataFolder, {recursive: true});
			machine.processes.set(role, new RoleProcess({
				command,
				settingsFile: path.join(this.#folder, `${name}-${role}.json`),
				logFile: path.join(this.#folder, `${name}-${role}.log`),
				fillSettings: () => this.#fill(template, this.#newFields(machine, role, dataFolder)),
				onOwnEnd: (program, code, signal) => {
					this.ownEnds.push({
						machine: name, role, code, signal, at: Date.now(),
					});
				},
			}));
		}
	}

	/** The admin address is the machine's own one, as all machines share one network stack here. */
	#fill(template, fields) {
		return fillTemplate(template, fields).replace('"host": "0.0.0.0"', `"host": "${fields.ip}"`);
	}

	#newFields({name, zone, ip, hasDisk, app, service}, role, dataFolder) {
		const seeds = this.machines.filter(machine => machine.hasDisk).slice(0, 3).map(machine => `${machine.ip}:${this.#ports[0]}`);
		return Object.fromEntries([
			['node_name', name],
			['role', role],
			['machine_class', 'front'],
			['ip', ip],
			['zone', zone],
			['region', 'uio'],
			['internal_ports', [this.#ports[1], this.#ports[4]]],
			['seeds', seeds],
			['bootstrap', this.#isFirstStart],
			['loss_counts', hasDisk],
			['discovery', 'registry'],
			['entry_mode', 'vip'],
			['heartbeat_ms', HEARTBEAT_MS],
			['config_mode', 'highest'],
			['listen', Object.fromEntries([['frontend', `${ip}:${this.#ports[2]}`], ['readiness', `${ip}:${this.#ports[3]}`], ['control_plane', `${ip}:${this.#ports[0]}`]])],
			['limits', Object.fromEntries([['memory_mb', 350], ['max_fds', 4100], ['cpu_cores', 2]])],
			['fault_tolerance', {machines: 1, zones: 0, regions: 0}],
			['bounds', BOUNDS],
			...(hasDisk ? [['data_dir', dataFolder]] : []),
			...(app ? [['app', app], ['service', service]] : []),
		]);
	}
}
