import process from 'node:process';
import {Command} from 'commander';
import {DEPLOYMENTS} from './policy/deployments.js';
import {newShippingPolicy} from './policy/new-shipping-policy.js';
import {newSimplePolicy} from './policy/new-simple-policy.js';
import {newTrace} from './policy/new-trace.js';
import {replayTrace} from './policy/replay-trace.js';
import type {Deployment} from './policy/deployment.js';
import type {Policy} from './policy/policy.js';
import type {ReplayResult} from './policy/replay-result.js';
import type {Trace} from './policy/trace.js';
import {formatRow} from './format-row.js';

const SHAPES = ['daily', 'bursts', 'holiday', 'slow-store', 'reclaim', 'flood'] as const;
const FIXED_KEEP_MS = 300_000;
const MANY_LOADS = 1000;
const GIB = 2 ** 30;
const REMOTE_MS_PER_GIB = 1000;

const program = new Command('bench-policy').option('--seed <number>', 'seed of the traces', Number, 101).parse();
const {seed} = program.opts<{seed: number}>();

const say = (line: string): void => {
	process.stdout.write(`${line}\n`);
};

const getQuantile = (values: readonly number[], share: number): number => {
	const sorted = [...values].sort((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
};

/** The bound knows when each unit is used next. */
const newBound = (deployment: Deployment, trace: Trace): Policy => {
	const uses = new Map<string, number[]>();
	for (const {unit, at} of trace.requests) {
		uses.set(unit, [...(uses.get(unit) ?? []), at]);
	}

	const positions = new Map<string, number>();
	const getNextUse = (unit: string, now: number): number => {
		const times = uses.get(unit) ?? [];
		let position = positions.get(unit) ?? 0;
		while (position < times.length && times[position] < now) {
			position += 1;
		}

		positions.set(unit, position);
		return times[position] ?? Number.POSITIVE_INFINITY;
	};

	const getLoadMs = (unit: {memoryBytes: number}): number => unit.memoryBytes / GIB * REMOTE_MS_PER_GIB * 1.1;
	return newSimplePolicy({
		name: 'bound',
		keepMs: 0,
		concurrentLoads: deployment.policy.concurrentLoads,
		getNextUse,
		getLoadMs,
		getKeepMs: unit => getLoadMs(unit) * 2,
	});
};

const newPolicies = (deployment: Deployment, trace: Trace): Policy[] => {
	const {concurrentLoads} = deployment.policy;
	return [
		newShippingPolicy(deployment.policy),
		newSimplePolicy({name: 'fixed', keepMs: FIXED_KEEP_MS, concurrentLoads}),
		newSimplePolicy({name: 'on-demand', keepMs: 0, concurrentLoads: MANY_LOADS}),
		newSimplePolicy({name: 'warm', keepMs: Number.POSITIVE_INFINITY, concurrentLoads}),
		newBound(deployment, trace),
	];
};

const formatSeconds = (milliseconds: number): string => `${(milliseconds / 1000).toFixed(1)}s`;

const toLine = (trace: Trace, policy: Policy, result: ReplayResult): string => {
	const cold = [...result.coldWaits.values()].flat();
	const refused = [...result.refused.values()].reduce((sum, count) => sum + count, 0);
	return formatRow('POLICY', {
		trace: trace.name,
		policy: policy.name,
		cold: cold.length,
		p50: formatSeconds(getQuantile(cold, 0.5)),
		p99: formatSeconds(getQuantile(cold, 0.99)),
		worst: formatSeconds(getQuantile(cold, 1)),
		...Object.fromEntries([...result.coldWaits].map(([name, waits]) => [`${name}_p99`, formatSeconds(getQuantile(waits, 0.99))])),
		idle: `${result.idleHours.toFixed(2)}h`,
		loading: `${result.loadingHours.toFixed(2)}h`,
		loads: result.loads,
		served: result.served,
		refused,
		cost: result.cost.toFixed(0),
	});
};

/** The 99th percentile of waits of all teams but the first, which is the one that floods. */
const getOthersWait = (result: ReplayResult): number => getQuantile([...result.teamWaits].filter(([team]) => team !== 'team-0').flatMap(([, waits]) => waits), 0.99);

for (const deployment of DEPLOYMENTS) {
	let quiet = 0;
	for (const shape of SHAPES) {
		const trace = newTrace(deployment, shape, seed);
		const results = new Map<string, ReplayResult>();
		for (const policy of newPolicies(deployment, trace)) {
			const result = replayTrace(deployment, trace, policy);
			results.set(policy.name, result);
			say(toLine(trace, policy, result));
		}

		const own = results.get('valelead')!;
		const getRatio = (name: string, getValue: (result: ReplayResult) => number): string => (getValue(own) / getValue(results.get(name)!)).toFixed(2);
		const getCost = (result: ReplayResult): number => result.cost;
		const getP99 = (result: ReplayResult): number => getQuantile([...result.coldWaits.values()].flat(), 0.99);
		const others = getOthersWait(own);
		quiet = shape === 'daily' ? others : quiet;
		say(formatRow('RESULT', {
			trace: trace.name,
			'cost/fixed': getRatio('fixed', getCost),
			'cost/on-demand': getRatio('on-demand', getCost),
			'cost/warm': getRatio('warm', getCost),
			'cost/bound': getRatio('bound', getCost),
			'p99/fixed': getRatio('fixed', getP99),
			'idle/fixed': getRatio('fixed', result => result.idleHours),
			...(shape === 'flood' && {'others_p99/quiet': (others / quiet).toFixed(2)}),
		}));
	}
}
