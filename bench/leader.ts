/**
 * What a leading controller spends on followers and on engines that announce themselves, and how long these wait for its answer.
 * One controller runs as a process; followers and engines are stand-ins in this one. Each engine announces itself once in a heartbeat,
 * and with each change of what it holds, as while it swaps models.
 */
import {mkdtemp, readFile, writeFile} from 'node:fs/promises';
import {Agent, request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {
	type SessionReport, type SessionUpdate, Channel, Control, DirectoryDeltaSchema, FollowerReportSchema, SessionReportSchema, SessionUpdateSchema,
} from '@valelead/protocol';
import {ChannelCredentials} from '@grpc/grpc-js';
import {Program, getFreePorts} from '@valelead/fakes';
import {formatRow} from './format-row.js';

type Size = {
	readonly followers: number;
	readonly engines: number;
};

type Traffic = {
	messages: number;
	bytes: number;
	/** Times until an announcement was answered, in milliseconds. */
	readonly answered: number[];
	failed: number;
};

/** A follower of the stand-in, with how far it has taken the directory. */
type Follower = {
	epoch: string;
	version: number;
};

const SIZES: readonly Size[] = [{followers: 24, engines: 8}, {followers: 80, engines: 42}, {followers: 160, engines: 84}];
const SETTLE_MS = 4000;
const MEASURE_MS = 8000;
const HEARTBEAT_MS = 500;
const ANNOUNCE_MS = 1200;
/** An engine that swaps models changes what it holds twice in this time: one goes, another one comes. */
const SWAP_MS = 1000;
const HELD = 3;
const COPIES = 20;
const MODELS = 600;
/** Callers take a longer wait as a failure. */
const ANSWER_LIMIT_MS = 1000;

/** Where a profile of the controller's processor time is written, if one is wanted. */
const {PROFILE_FOLDER} = process.env;

const say = (line: string): void => {
	process.stdout.write(`${line}\n`);
};

const getQuantile = (values: readonly number[], share: number): number => values.toSorted((left, right) => left - right)[Math.floor(values.length * share)] ?? 0;

/** Processor time of a process so far, in milliseconds. */
const getCpuMs = async (pid: number): Promise<number> => {
	const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.split(') ')[1].split(' ');
	const ticks = Number(fields[11]) + Number(fields[12]);
	return ticks * 10;
};

const newModelName = (index: number): string => `model-${index % MODELS}`;

class LeaderLoad {
	readonly #control: string;
	readonly #peer: string;
	readonly #traffic: Traffic = {
		messages: 0, bytes: 0, answered: [], failed: 0,
	};

	readonly #agent = new Agent({keepAlive: true});
	readonly #channels: Channel[] = [];
	readonly #timers: NodeJS.Timeout[] = [];

	constructor(control: string, peer: string) {
		this.#control = control;
		this.#peer = peer;
	}

	get traffic(): Traffic {
		return this.#traffic;
	}

	reset(): void {
		this.#traffic.messages = 0;
		this.#traffic.bytes = 0;
		this.#traffic.failed = 0;
		this.#traffic.answered.length = 0;
	}

	addFollower(index: number): void {
		const channel = new Channel(this.#peer, ChannelCredentials.createInsecure());
		this.#channels.push(channel);
		const stream = channel.bidiStream(Control.method.session);
		const follower: Follower = {epoch: '', version: 0};
		const report = (): void => {
			stream.write(this.#newReport(index, follower));
		};

		stream.on('data', (update: SessionUpdate) => {
			this.#traffic.messages += 1;
			this.#traffic.bytes += toBinary(SessionUpdateSchema, update).length;
			if (update.directory.length > 0) {
				const delta = fromBinary(DirectoryDeltaSchema, update.directory);
				follower.epoch = delta.epoch;
				follower.version = delta.version;
			}

			if (update.isReportWanted) {
				report();
			}
		});
		stream.on('error', () => undefined);
		report();
		this.#timers.push(setInterval(report, HEARTBEAT_MS));
	}

	addEngine(index: number): void {
		let swaps = index * 100;
		let sequence = 0;
		const announce = (): void => {
			sequence += 1;
			void this.announce(`i-${index}`, this.#newHeartbeat(index, swaps, sequence));
		};

		announce();
		this.#timers.push(setInterval(announce, ANNOUNCE_MS), setInterval(() => {
			swaps += 1;
			announce();
		}, SWAP_MS / 2));
	}

	async announce(id: string, body: string): Promise<void> {
		const startedAt = performance.now();
		try {
			await this.call('POST', `/-/instances/${id}/heartbeat`, body);
			this.#traffic.answered.push(performance.now() - startedAt);
		} catch {
			this.#traffic.failed += 1;
		}
	}

	async call(method: string, url: string, body: string): Promise<number> {
		const [host, port] = this.#control.split(':');
		return new Promise((resolve, reject) => {
			const outgoing = request({
				host, port, method, path: url, agent: this.#agent, timeout: ANSWER_LIMIT_MS,
			}, answer => {
				answer.resume();
				answer.on('end', () => {
					resolve(answer.statusCode ?? 0);
				});
			});
			outgoing.on('error', reject);
			outgoing.on('timeout', () => {
				outgoing.destroy(new Error('no answer in time'));
			});
			outgoing.end(body);
		});
	}

	close(): void {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		for (const channel of this.#channels) {
			channel.close();
		}

		this.#agent.destroy();
	}

	#newReport(index: number, {epoch, version}: Follower): SessionReport {
		return create(SessionReportSchema, {
			report: {
				case: 'follower',
				value: create(FollowerReportSchema, {
					vm: `follower-${index}`, sentAt: performance.now(), role: index % 2 === 0 ? 'gateway' : 'sidecar', directoryEpoch: epoch, directoryVersion: version, routingVersion: 1,
				}),
			},
		});
	}

	#newHeartbeat(index: number, swaps: number, sequence: number): string {
		const held = Array.from({length: swaps % 2 === 0 ? HELD : HELD - 1}, (_, place) => ({name: newModelName(swaps + place), version: 1, adapters: []}));
		const copies = Array.from({length: COPIES}, (_, place) => newModelName((index * 7) + place));
		return JSON.stringify({
			service: 'llm',
			address: `10.0.${Math.floor(index / 250)}.${index % 250}:8080`,
			zone: 'z1',
			slots: 12,
			state: 'ready',
			models: held,
			available: {in_memory: copies.slice(0, 2), on_disk: copies},
			call_seq: sequence,
		});
	}
}

const newRouting = (): string => JSON.stringify({
	version: 1,
	routes: [{
		name: 'chat', host: 'a.example', path_prefix: '/chat/', route_type: 'streaming', timeout_ms: 15_000, target_latency_ms: 400, priority: 1, service: 'llm', attempts: 1,
	}],
	services: [{
		name: 'llm',
		engine: {
			slots: 12, weights_mb: 230, adapter_slots: 8, models: Array.from({length: MODELS}, (_, index) => ({name: newModelName(index), weights_mb: 70, load_s: 13})),
		},
	}],
});

const startController = async (folder: string, ports: readonly number[]): Promise<Program> => {
	const control = `127.0.0.1:${ports[0]}`;
	const settings = path.join(folder, 'controller.json');
	await writeFile(settings, JSON.stringify({
		role: 'controller',
		vm: 'controller-1',
		dataCentre: 'z1',
		admin: {host: '127.0.0.1', port: ports[1]},
		host: '127.0.0.1',
		control,
		dataFolder: path.join(folder, 'data'),
		mayForm: true,
		controlAddresses: [control],
		peerPort: ports[2],
		sidecarPort: ports[3],
		orderGapMs: 3000,
		announceMs: ANNOUNCE_MS,
		graceSeconds: 2,
	}));
	const profiled = PROFILE_FOLDER === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${PROFILE_FOLDER}`];
	const [first, ...rest] = [...profiled, 'platform/dist/main.js'];
	const program = new Program(first, rest, path.join(folder, 'controller.log'), {VALELEAD_NODE_FILE: settings});
	program.start();
	return program;
};

const folder = await mkdtemp(path.join(tmpdir(), 'valelead-leader-'));
const ports = await getFreePorts(4);
const program = await startController(folder, ports);
const load = new LeaderLoad(`127.0.0.1:${ports[0]}`, `127.0.0.1:${ports[2]}`);
const isLeading = async (): Promise<boolean> => {
	try {
		return await load.call('POST', '/-/config/replace', newRouting()) === 200;
	} catch {
		return false;
	}
};

while (!await isLeading()) {
	await wait(100);
}

let followers = 0;
let engines = 0;
for (const size of SIZES) {
	for (; followers < size.followers; followers += 1) {
		load.addFollower(followers);
	}

	for (; engines < size.engines; engines += 1) {
		load.addEngine(engines);
	}

	await wait(SETTLE_MS);
	load.reset();
	const cpuBefore = await getCpuMs(program.pid);
	await wait(MEASURE_MS);
	const {messages, bytes, answered, failed} = load.traffic;
	const seconds = MEASURE_MS / 1000;
	const core = (await getCpuMs(program.pid) - cpuBefore) / MEASURE_MS;
	say(formatRow('LEADER', {
		followers: size.followers,
		engines: size.engines,
		core: core.toFixed(3),
		'updates/s': (messages / seconds).toFixed(0),
		'KB/s': (bytes / seconds / 1000).toFixed(0),
		'answer p50 ms': getQuantile(answered, 0.5).toFixed(1),
		'answer p99 ms': getQuantile(answered, 0.99).toFixed(1),
		failed: `${failed} of ${answered.length + failed}`,
	}));
}

load.close();
program.signal('SIGTERM');
await program.exited();
