import {spawn} from 'node:child_process';
import {
	createWriteStream, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {parse} from 'smol-toml';
import {FaultProxy} from '../../tests/dist/platform/tests/support/fault-proxy.js';
import {getLocalPorts} from '../../tests/dist/platform/tests/support/get-local-ports.js';
import {callControl} from './call-control.mjs';
import {callHttp} from './call-http.mjs';
import {fillTemplate} from './fill-template.mjs';
import {getFreePorts} from './get-free-ports.mjs';
import {tryCall} from './try-call.mjs';

const POLL_MS = 50;
const START_LIMIT_MS = 30_000;
const RESTART_MS = 500;
const PORT_NAMES = ['frontend', 'readiness', 'control', 'peer', 'sidecar', 'gatewayAdmin', 'controllerAdmin', 'upstream'];
const HEARTBEAT_MS = 1200;

/** Networks of loopback, one for each run. */
const NETWORKS = 250;

const GRACE_MS = 8000;

/** The bounds that are stated to every process, those of a small deployment. */
const BOUNDS = JSON.parse(readFileSync('review/support/bounds.json', 'utf8'));

/**
 * The project's programs on loopback: machines that each run a gateway, some with a controller and a disk, started with the commands and the settings
 * templates of the deploy file. A process that ends by itself is started again, as the platform does.
 */
export class Installation {
	#roles = parse(readFileSync('deploy/system.toml', 'utf8')).roles;
	#folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	#network = 1 + (process.pid % NETWORKS);
	#machines = [];
	#processes = [];
	#ports = {};
	#seeds = [];
	/** Before the port at which a machine's controller is reached by the other machines. */
	#proxies = new Map();
	#isStopping = false;
	#onExit;

	/** @param onExit - Hears of each process that ends by itself: its name, status and signal. */
	constructor(onExit = () => undefined) {
		this.#onExit = onExit;
	}

	get folder() {
		return this.#folder;
	}

	getHost(group, index) {
		return `127.${this.#network}.${group}.${index}`;
	}

	/** Where upstreams may listen, at addresses of their own. */
	get upstreamPort() {
		return this.#ports.upstream;
	}

	get controlAddresses() {
		return this.#machines.filter(({hasDisk}) => hasDisk).map(({host}) => `${host}:${this.#ports.control}`);
	}

	get gatewayAddresses() {
		return this.#machines.map(({host}) => `${host}:${this.#ports.frontend}`);
	}

	/** @param disks - For each machine, whether it has a disk. */
	async start(disks) {
		const ports = await getFreePorts(this.getHost(1, 1), PORT_NAMES.length);
		this.#ports = Object.fromEntries(PORT_NAMES.map((name, position) => [name, ports[position]]));

		this.#machines = disks.map((hasDisk, position) => this.#newMachine(position, hasDisk));
		this.#seeds = this.controlAddresses;
		for (const machine of this.#machines) {
			await this.#startMachine(machine, true);
		}

		await this.waitFor('a leader', async () => {
			// A leader that has no configuration yet cannot answer, and no other controller can.
			const answer = await tryCall(async () => callHttp({address: this.controlAddresses[0], path: '/-/config/read'}));
			return answer.status === 307 || answer.text?.includes('cannot be sure') === true;
		});
	}

	/** Cuts a machine with a disk off from the others that have one; operators and clients reach all of them. What the cut holds up arrives when it heals. */
	async cutOff(machine) {
		const others = this.#machines.filter(other => other !== machine && other.hasDisk);
		await this.#proxies.get(machine).cutOff(async () => this.#getPorts(others));
		await Promise.all(others.map(async other => this.#proxies.get(other).cutOff(async () => this.#getPorts([machine]))));
	}

	heal() {
		for (const proxy of this.#proxies.values()) {
			proxy.heal();
		}
	}

	/** Adds a machine with a disk, which is empty; its settings name the machines that were there first. */
	async addMachine() {
		const machine = this.#newMachine(this.#machines.length, true);
		this.#machines.push(machine);
		await this.#startMachine(machine, false);
		return machine;
	}

	/** Stops a machine for good: SIGTERM, and SIGKILL after the grace period. Resolves when its controller has ended. */
	async removeMachine(machine) {
		const processes = this.#getProcessesOf(machine);
		for (const entry of processes) {
			entry.isRemoved = true;
			entry.child.kill('SIGTERM');
			const {child} = entry;
			setTimeout(() => {
				child.kill('SIGKILL');
			}, GRACE_MS).unref();
		}

		this.#machines = this.#machines.filter(other => other !== machine);
		const {child} = processes.find(({role}) => role === 'controller');
		if (child.exitCode === null && child.signalCode === null) {
			await once(child, 'exit');
		}
	}

	/** Loses power and the disk of a machine, which starts again at its address after a while. */
	async wipeMachine(machine, downMs) {
		await this.killMachine(machine, downMs, true);
	}

	/** Kills the processes of a machine, which start again after a while. */
	async killMachine(machine, downMs, isDiskLost = false) {
		await Promise.all(this.#getProcessesOf(machine).map(async entry => {
			entry.isHeld = true;
			const {child} = entry;
			child.kill('SIGKILL');
			await once(child, 'exit');
			if (isDiskLost) {
				rmSync(entry.dataFolder, {recursive: true});
				mkdirSync(entry.dataFolder);
			}

			await wait(downMs);
			entry.isHeld = false;
			// Only the very first start of an installation may form a quorum.
			writeFileSync(entry.settingsFile, this.#newSettings(entry.role, machine, entry.dataFolder, false));
			this.#spawn(entry);
		}));
	}

	get machines() {
		return this.#machines;
	}

	/** Where operators and upstreams reach the controller of a machine. */
	getControlAddress({host}) {
		return `${host}:${this.#ports.control}`;
	}

	/** The machine whose controller leads, as the only one that answers reads itself. */
	async getLeader() {
		let leader;
		await this.waitFor('a leader that answers', async () => {
			for (const machine of this.#machines.filter(({hasDisk}) => hasDisk)) {
				const answer = await tryCall(async () => callHttp({address: this.getControlAddress(machine), path: '/-/config/read'}));
				leader = answer.status === 200 ? machine : leader;
			}

			return leader !== undefined;
		});
		return leader;
	}

	/** Sends a whole configuration until it is acknowledged, and waits until all gateways are ready. */
	async configure(configuration) {
		await this.waitFor('an acknowledgement', async () => {
			const answer = await callControl(this.controlAddresses, {
				method: 'POST', path: '/-/config/replace', body: JSON.stringify(configuration), timeoutMs: 4000,
			});
			return answer.status === 200;
		});
		await this.waitFor('all gateways', async () => {
			const answers = await Promise.all(this.#machines.map(async ({host}) => callHttp({address: `${host}:${this.#ports.readiness}`, path: '/-/ready'})));
			return answers.every(({status}) => status === 200);
		});
	}

	async waitFor(what, isMet) {
		const endsAt = performance.now() + START_LIMIT_MS;
		while (performance.now() < endsAt) {
			try {
				if (await isMet()) {
					return;
				}
			} catch {
				// Not yet.
			}

			await wait(POLL_MS);
		}

		throw new Error(`${what} was not reached in ${START_LIMIT_MS} ms`);
	}

	/** Ends all processes that were started here. */
	async stop() {
		this.#isStopping = true;
		await Promise.all(this.#processes.map(async ({child}) => {
			if (child.exitCode === null && child.signalCode === null) {
				child.kill('SIGKILL');
				await once(child, 'exit');
			}
		}));
		for (const proxy of this.#proxies.values()) {
			proxy.stop();
		}

		rmSync(this.#folder, {recursive: true});
	}

	#getProcessesOf(machine) {
		return this.#processes.filter(entry => entry.machine === machine);
	}

	/** The local ports of all processes of some machines. */
	async #getPorts(machines) {
		const pids = machines.flatMap(machine => this.#getProcessesOf(machine)).map(({child}) => child.pid);
		const ports = await Promise.all(pids.map(async pid => getLocalPorts(pid)));
		return new Set(ports.flatMap(set => [...set]));
	}

	async #startMachine(machine, isFirstStart) {
		this.#startProcess('gateway', machine, isFirstStart);
		if (machine.hasDisk) {
			const proxy = new FaultProxy({host: machine.host, port: this.#ports.peer, targetHost: machine.listenHost});
			this.#proxies.set(machine, proxy);
			await proxy.start();
			this.#startProcess('controller', machine, isFirstStart);
		}
	}

	/** Its controller listens for the others behind a proxy, at an address of its own. */
	#newMachine(position, hasDisk) {
		return {
			name: `front-${position + 1}`, host: this.getHost(1, position + 1), listenHost: this.getHost(2, position + 1), hasDisk,
		};
	}

	#startProcess(role, machine, isFirstStart) {
		const name = `${machine.name}-${role}`;
		const dataFolder = path.join(this.#folder, name);
		mkdirSync(dataFolder, {recursive: true});
		const settingsFile = path.join(this.#folder, `${name}.json`);
		writeFileSync(settingsFile, this.#newSettings(role, machine, dataFolder, isFirstStart));
		const entry = {
			name, role, machine, settingsFile, dataFolder,
		};
		this.#processes.push(entry);
		this.#spawn(entry);
		return entry;
	}

	#spawn(entry) {
		const [program, ...words] = this.#roles[entry.role].run.split(' ');
		const log = createWriteStream(path.join(this.#folder, `${entry.name}.log`), {flags: 'a'});
		entry.child = spawn(program, words, {
			stdio: ['ignore', 'pipe', 'pipe'],
			env: {PATH: process.env.PATH, HOME: this.#folder, VALELEAD_NODE_FILE: entry.settingsFile},
		});
		entry.child.stdout.pipe(log, {end: false});
		entry.child.stderr.pipe(log, {end: false});
		const {child} = entry;
		child.on('exit', async (status, signal) => {
			if (this.#isStopping || entry.isRemoved || entry.isHeld) {
				return;
			}

			this.#onExit(entry.name, status, signal);
			await wait(RESTART_MS);
			if (!this.#isStopping) {
				this.#spawn(entry);
			}
		});
	}

	#newSettings(role, machine, dataFolder, isFirstStart) {
		const {name, host, hasDisk, listenHost} = machine;
		const template = readFileSync(this.#roles[role].template, 'utf8');
		const listen = Object.fromEntries([
			['frontend', `${host}:${this.#ports.frontend}`], ['readiness', `${host}:${this.#ports.readiness}`], ['control_plane', `${host}:${this.#ports.control}`],
		]);
		const settings = JSON.parse(fillTemplate(template, Object.fromEntries([
			['node_name', name],
			['zone', 'zone-a'],
			['ip', host],
			['internal_ports', [this.#ports.peer, this.#ports.sidecar]],
			['seeds', this.#seeds],
			['bootstrap', isFirstStart],
			['data_dir', hasDisk ? dataFolder : undefined],
			['heartbeat_ms', HEARTBEAT_MS],
			['listen', listen],
			['fault_tolerance', {machines: 1}],
			['bounds', BOUNDS],
		])));
		return JSON.stringify({
			...settings,
			// On one host the metrics of all machines cannot share a port.
			admin: {host, port: this.#ports[`${role}Admin`]},
			...(role === 'controller' && {listenHost}),
		});
	}
}
