import {readFileSync} from 'node:fs';
import {mkdtemp} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {setTimeout as wait} from 'node:timers/promises';
import {create, toBinary} from '@bufbuild/protobuf';
import {ChannelCredentials, type ClientDuplexStream} from '@grpc/grpc-js';
import {Installation} from '@valelead/fakes';
import {
	type Command, encodeIntent, mutateIntent, newIntent,
} from '@valelead/intent';
import {
	type SessionReport, type SessionUpdate, Channel, Control, SessionReportSchema, SessionUpdateSchema,
} from '@valelead/protocol';
import {fitLine} from './fit-line.js';
import {formatRow} from './format-row.js';

type SessionStream = ClientDuplexStream<SessionReport, SessionUpdate>;

type Measured = {
	readonly count: number;
	readonly cpuUs: number;
	readonly bytes: number;
	readonly messages: number;
	readonly residentMb: number;
};

type Traffic = {
	bytes: number;
	messages: number;
};

const SIZES = [25, 50, 100, 200];
const HEARTBEAT_MS = 1000;
const MEASURE_MS = 5000;
const SETTLE_MS = 2500;
const CLOCK_TICKS_PER_SECOND = 100;
const GIB = 2 ** 30;
const FIRST_START_MS = 1_700_000_000_000;

const say = (line: string): void => {
	process.stdout.write(`${line}\n`);
};

const getCpuUs = (pid: number): number => {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1].split(' ');
	return (Number(fields[11]) + Number(fields[12])) * 1_000_000 / CLOCK_TICKS_PER_SECOND;
};

const getResidentMb = (pid: number): number => Number(/VmRSS:\s+(?<kb>\d+)/v.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))!.groups!.kb) / 1024;

const newAgentReport = (index: number): SessionReport => create(SessionReportSchema, {
	report: {
		case: 'agent',
		value: {
			vm: `vm-${index}`,
			sentAt: performance.now(),
			dataCentre: 'dc-1',
			address: `10.0.0.1:${index}`,
			incarnation: `${FIRST_START_MS}-x`,
			upstreamIncarnation: 'one',
			memoryBytes: 64 * GIB,
			capacity: 16,
			cached: Array.from({length: 20}, (_, model) => `model-${model}@v1`),
			units: [],
		},
	},
});

const newEntryReport = (index: number): SessionReport => create(SessionReportSchema, {
	report: {
		case: 'entry',
		value: {
			vm: `entry-x${index}`, sentAt: performance.now(), revision: revisions.get(index) ?? -1, demands: [],
		},
	},
});

/** The revision that each stand-in entry has. */
const revisions = new Map<number, number>();

const openSession = (channel: Channel, index: number, traffic: Traffic): SessionStream => {
	const stream = channel.bidiStream(Control.method.session);
	stream.on('data', (update: SessionUpdate) => {
		traffic.messages += 1;
		traffic.bytes += toBinary(SessionUpdateSchema, update).length;
		revisions.set(index, update.revision);
	});
	stream.on('error', () => undefined);
	return stream;
};

/** Grows the number of stand-ins and measures what one leader spends on their heartbeats. */
const measureSessions = async (installation: Installation, newReport: (index: number) => SessionReport): Promise<Measured[]> => {
	const [entry] = installation.entries;
	const {pid} = entry.program;
	const traffic: Traffic = {bytes: 0, messages: 0};
	const streams: SessionStream[] = [];
	const channels: Channel[] = [];
	const measured: Measured[] = [];
	const beat = setInterval(() => { // Each stand-in reports once in a heartbeat, spread over it.
		const slice = Math.ceil(streams.length / 10);
		for (let step = 0; step < slice; step += 1) {
			const index = next % Math.max(1, streams.length);
			next += 1;
			const report = newReport(index);
			traffic.messages += 1;
			traffic.bytes += toBinary(SessionReportSchema, report).length;
			streams[index]?.write(report);
		}
	}, HEARTBEAT_MS / 10);
	let next = 0;
	for (const size of SIZES) {
		while (streams.length < size) {
			const channel = new Channel(entry.controlAddress, ChannelCredentials.createInsecure());
			channels.push(channel);
			streams.push(openSession(channel, streams.length, traffic));
		}

		await wait(SETTLE_MS);
		const before = {...traffic, cpuUs: getCpuUs(pid)};
		await wait(MEASURE_MS);
		const seconds = MEASURE_MS / 1000;
		measured.push({
			count: size,
			cpuUs: (getCpuUs(pid) - before.cpuUs) / seconds,
			bytes: (traffic.bytes - before.bytes) / seconds,
			messages: (traffic.messages - before.messages) / seconds,
			residentMb: getResidentMb(pid),
		});
	}

	clearInterval(beat);
	for (const channel of channels) {
		channel.close();
	}

	return measured;
};

const report = (role: string, per: string, measured: readonly Measured[]): void => {
	const fit = (getValue: (point: Measured) => number): {text: string; residual: string} => {
		const line = fitLine(measured.map(point => ({x: point.count, y: getValue(point)})));
		return {text: `${line.slope.toFixed(2)}+${line.intercept.toFixed(0)}`, residual: line.residual.toFixed(3)};
	};

	const cpu = fit(point => point.cpuUs);
	const memory = fit(point => point.residentMb * 1024);
	say(formatRow('SLOPE', {
		role,
		per,
		bytes: fit(point => point.bytes).text,
		cpu_us: cpu.text,
		messages: fit(point => point.messages).text,
		resident_kb: memory.text,
		residual_cpu: cpu.residual,
		residual_resident: memory.residual,
	}));
};

/** What one more model, team or grant costs in the replicated state. */
const measureState = (per: string, newCommands: (index: number) => Command[]): void => {
	const points = [250, 500, 1000, 2000].map(count => {
		globalThis.gc?.();
		const heapBefore = process.memoryUsage().heapUsed;
		const intent = newIntent();
		const startedAt = performance.now();
		for (let index = 0; index < count; index += 1) {
			mutateIntent(intent, {commandId: '', commands: newCommands(index)});
		}

		const cpuUs = (performance.now() - startedAt) * 1000;
		globalThis.gc?.();
		const heap = process.memoryUsage().heapUsed - heapBefore;
		return {
			count, cpuUs, bytes: encodeIntent(intent).length, heap,
		};
	});
	const cpu = fitLine(points.map(point => ({x: point.count, y: point.cpuUs})));
	const bytes = fitLine(points.map(point => ({x: point.count, y: point.bytes})));
	const heap = fitLine(points.map(point => ({x: point.count, y: point.heap})));
	say(formatRow('SLOPE', {
		role: 'state',
		per,
		bytes: bytes.slope.toFixed(0),
		cpu_us: cpu.slope.toFixed(1),
		messages: '0',
		heap_bytes: heap.slope.toFixed(0),
		residual_cpu: cpu.residual.toFixed(3),
		residual_bytes: bytes.residual.toFixed(3),
	}));
};

/** What one change of the configuration costs the leader while many entries follow. */
const measureChanges = async (installation: Installation): Promise<void> => {
	const [entry] = installation.entries;
	const statements = Array.from({length: 200}, (_, index) => `create team t${index}`);
	const before = getCpuUs(entry.program.pid);
	const startedAt = performance.now();
	for (let first = 0; first < statements.length; first += 40) {
		await installation.exec(statements.slice(first, first + 40).join('; '));
	}

	say(`CHANGES batches=5 took=${(performance.now() - startedAt).toFixed(0)}ms entry_cpu=${((getCpuUs(entry.program.pid) - before) / 1000).toFixed(0)}ms`);
};

measureState('model', index => [{kind: 'createModel', name: `model-${index}`, memoryBytes: GIB}]);
measureState('team', index => [{kind: 'createTeam', name: `team-${index}`}, {
	kind: 'createKey', team: `team-${index}`, name: 'main', hash: String(index).padStart(64, '0'),
}]);
measureState('vm', index => [{
	kind: 'registerVm', name: `vm-${index}`, dataCentre: 'dc', address: '10.0.0.1:1', incarnation: `${FIRST_START_MS}-x`, upstreamIncarnation: 'one', memoryBytes: GIB, service: '',
}]);
const installation = new Installation({
	folder: await mkdtemp(path.join(tmpdir(), 'valelead-capacity-')), entries: 1, engines: 0, services: 0, entrySettings: {logLevel: 'warn'},
});
try {
	await installation.start();
	report('voter', 'agent', await measureSessions(installation, newAgentReport));
	report('voter', 'entry', await measureSessions(installation, newEntryReport));
	await measureChanges(installation);
	say(`RESIDENT entry_with_voter=${getResidentMb(installation.entries[0].program.pid).toFixed(0)}MB node_alone=45MB`);
} finally {
	await installation.kill();
}
