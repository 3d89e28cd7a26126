import assert from 'node:assert/strict';
import {setImmediate} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import type {Upstream} from '@valelead/discovery';
import fc from 'fast-check';
import {pino} from 'pino';
import {newProcessTimers} from '../../../tests/support/new-process-timers.js';
import {newUpstream} from '../../../tests/support/new-upstream.js';
import {VirtualProcess} from '../../../tests/support/virtual-process.js';
import {VirtualTime} from '../../../tests/support/virtual-time.js';
import {SimulatedVersionLog} from './simulated-version-log.js';
import {type VersionLog, SoftwareVersions} from 'valelead-daemon';

const MS_PER_SECOND = 1000;
const RETENTION_MS = 60_000;
const SERVICE = 's';

/** A voter's part, and the term in which it leads; it does nothing in other terms. */
type ModelVoter = {
	readonly versions: SoftwareVersions;
	term: number;
};

/** Voters that lead in turn, and the upstreams that have announced themselves to the leader. */
class VersionModel {
	readonly time = new VirtualTime();
	readonly log = new SimulatedVersionLog();
	/** When gateways last knew an upstream of each version, in milliseconds. */
	readonly seenAt = new Map<string, number>();
	#directory: Upstream[] = [];
	readonly #voters = [this.#newVoter(), this.#newVoter()];
	#leader = this.#voters[0];

	/** An upstream joins. Gateways learn of it once its version is registered, if the leader still leads. */
	join(softwareVersion: string): void {
		const {term} = this.log.node;
		const upstream = newUpstream(`${softwareVersion}-${this.time.now}`, {service: SERVICE, softwareVersion});
		const register = async (): Promise<void> => {
			await this.#leader.versions.register(upstream);
			if (term === this.log.node.term) {
				this.#directory.push(upstream);
				this.#note();
			}
		};

		void register();
	}

	/** All upstreams of a version leave. */
	leave(softwareVersion: string): void {
		this.#note();
		this.#directory = this.#directory.filter(upstream => upstream.softwareVersion !== softwareVersion);
	}

	/** A voter begins to lead, to which no upstream has announced itself in its term. */
	lead(index: number): void {
		this.#note();
		this.log.lead();
		this.#directory = [];
		this.#leader = this.#voters[index];
		this.#leader.term = this.log.node.term;
	}

	pass(ms: number): void {
		this.time.advance(ms);
		this.#note();
	}

	get registered(): string[] {
		return [...this.log.machine.versions.get(SERVICE) ?? []].sort((left, right) => left.localeCompare(right));
	}

	#note(): void {
		for (const {softwareVersion} of this.#directory) {
			this.seenAt.set(softwareVersion, this.time.now);
		}
	}

	#newVoter(): ModelVoter {
		const voter = {term: this.log.node.term, versions: undefined as unknown as SoftwareVersions};
		const getNode = (): VersionLog['node'] => ({term: this.log.node.term, canRead: this.log.node.term === voter.term});
		voter.versions = new SoftwareVersions({
			voter: Object.create(this.log, {node: {get: getNode}}) as SimulatedVersionLog,
			getUpstreams: () => this.#directory,
			timers: newProcessTimers(this.time, new VirtualProcess(this.time)),
			logger: pino({enabled: false}),
		});
		voter.versions.start();
		return voter;
	}
}

type VersionsWorld = {
	model: VersionModel;
};

Given('a leader that knows upstreams of versions {string}', async function (this: VersionsWorld, versions: string) {
	this.model = new VersionModel();
	for (const version of versions.split(', ')) {
		this.model.join(version);
	}

	await setImmediate();
});

Given('the last upstream of version {string} has left, and {int} seconds later its removal is not committed yet', function (this: VersionsWorld, version: string, seconds: number) {
	this.model.leave(version);
	this.model.log.isFast = false;
	this.model.pass(seconds * MS_PER_SECOND);
});

When('an upstream of version {string} joins and the log commits what it was given', async function (this: VersionsWorld, version: string) {
	this.model.join(version);
	this.model.log.commit();
	await setImmediate();
});

When('version {string} leaves for {int} seconds, joins again while another voter leads for {int} seconds, and the first voter leads for {int} seconds', async function (
	this: VersionsWorld,
	version: string,
	absent: number,
	present: number,
	last: number,
) {
	const {model} = this;
	model.leave(version);
	model.pass(absent * MS_PER_SECOND);
	model.lead(1);
	model.join(version);
	await setImmediate();
	model.pass(present * MS_PER_SECOND);
	model.lead(0);
	model.pass(last * MS_PER_SECOND);
});

Then('the register holds {string}', function (this: VersionsWorld, versions: string) {
	assert.equal(this.model.registered.join(', '), versions);
});

Then('the log was given {string}', function (this: VersionsWorld, fields: string) {
	assert.deepEqual(this.model.log.proposed.map(change => Object.keys(change).join(', ')), [fields]);
});

const VERSION = fc.constantFrom('v1', 'v2');

const STEP = fc.oneof(
	fc.record({kind: fc.constant('join' as const), version: VERSION}),
	fc.record({kind: fc.constant('leave' as const), version: VERSION}),
	fc.record({kind: fc.constant('pass' as const), ms: fc.constantFrom(500, 5000, 30_000, 62_000)}),
	fc.record({kind: fc.constant('commit' as const)}),
	fc.record({kind: fc.constant('lead' as const), index: fc.constantFrom(0, 1)}),
);

type Step = typeof STEP extends fc.Arbitrary<infer Value> ? Value : never;

const applyStep = (model: VersionModel, step: Step): void => {
	switch (step.kind) {
		case 'join': {
			model.join(step.version);
			break;
		}

		case 'leave': {
			model.leave(step.version);
			break;
		}

		case 'pass': {
			model.pass(step.ms);
			break;
		}

		case 'commit': {
			model.log.commit();
			break;
		}

		case 'lead': {
			model.lead(step.index);
			break;
		}
	}
};

Then('in {int} random histories the register holds every version that gateways knew in the last 60 seconds', {timeout: 60_000}, async (runs: number) => {
	await fc.assert(fc.asyncProperty(fc.array(STEP, {minLength: 5, maxLength: 40, size: 'max'}), async steps => {
		const model = new VersionModel();
		model.log.isFast = false;
		for (const step of steps) {
			applyStep(model, step);
			await setImmediate();
			for (const [version, at] of model.seenAt) {
				assert.ok(model.time.now - at > RETENTION_MS || model.registered.includes(version), `${version} is missing`);
			}
		}
	}), {numRuns: runs, endOnFailure: true});
});
