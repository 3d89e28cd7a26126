import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import * as fc from 'fast-check';
import {newUpstream} from '../../../tests/support/new-upstream.js';
import {
	type Directory, type DirectoryCopy, type Upstream, type UpstreamStateValue, UPSTREAM_STATE, getChangesSince,
	getRunId, mutateAnnouncement, mutateDeparture, mutateDirectoryCopy, mutateSilentUpstreams, mutateUnconfirmedUpstreams, newDirectory, newDirectoryCopy,
} from '@valelead/discovery';

type DiscoveryWorld = {
	directory: Directory | undefined;
	before: number;
	addresses: Map<string, string>;
	copy: DirectoryCopy;
	version: number;
};

const SILENCE_MS = 5000;
const GRACE_MS = 8000;

const newAnnounced = (id: string, state: UpstreamStateValue, sequence: number, address = `10.0.0.9:${id.codePointAt(0)}`): Upstream => newUpstream(id, {state, sequence, address});

const newRun = (instanceId: string, bornAt: number, state: UpstreamStateValue, sequence: number): Upstream => ({
	...newAnnounced(getRunId({instanceId, bornAt}), state, sequence), instanceId, bornAt,
});

const announce = (world: DiscoveryWorld, id: string, state: string, sequence: number): void => {
	world.directory ??= newDirectory();
	world.before = world.directory.version;
	mutateAnnouncement(world.directory, newAnnounced(id, state as UpstreamStateValue, sequence, world.addresses?.get(id)), 0);
};

Given('upstream {string} at {string} announced itself as {string} with sequence {int}', function (this: DiscoveryWorld, id: string, address: string, state: string, sequence: number) {
	this.addresses ??= new Map();
	this.addresses.set(id, address);
	announce(this, id, state, sequence);
});

When('upstream {string} announces itself as {string} with sequence {int}', function (this: DiscoveryWorld, id: string, state: string, sequence: number) {
	announce(this, id, state, sequence);
});

When('upstream {string} departs', function (this: DiscoveryWorld, id: string) {
	mutateDeparture(this.directory!, {instanceId: id, bornAt: 0}, 0);
});

const announceRun = function (this: DiscoveryWorld, id: string, bornAt: number, state: string, sequence: number): void {
	this.directory ??= newDirectory();
	this.before = this.directory.version;
	mutateAnnouncement(this.directory, newRun(id, bornAt, state as UpstreamStateValue, sequence), 0);
};

Given('upstream {string} born at {int} announced itself as {string} with sequence {int}', announceRun);

When('upstream {string} born at {int} announces itself as {string} with sequence {int}', announceRun);

When('the run of {string} born at {int} departs', function (this: DiscoveryWorld, instanceId: string, bornAt: number) {
	mutateDeparture(this.directory!, {instanceId, bornAt}, 0);
});

Then('the run of {string} born at {int} is {string}', function (this: DiscoveryWorld, instanceId: string, bornAt: number, state: string) {
	assert.equal(this.directory!.entries.get(getRunId({instanceId, bornAt}))?.upstream.state, state);
});

Then('the run of {string} born at {int} is unknown', function (this: DiscoveryWorld, instanceId: string, bornAt: number) {
	assert.equal(this.directory!.entries.has(getRunId({instanceId, bornAt})), false);
});

When('{int} ms pass without announcements', function (this: DiscoveryWorld, milliseconds: number) {
	mutateSilentUpstreams(this.directory!, SILENCE_MS, milliseconds);
});

Then('upstream {string} is {string}', function (this: DiscoveryWorld, id: string, state: string) {
	assert.equal(this.directory!.entries.get(id)?.upstream.state, state);
});

Then('{int} changes are sent to followers', function (this: DiscoveryWorld, count: number) {
	assert.equal(getChangesSince(this.directory!, this.before).length, count);
});

const sendChange = (world: DiscoveryWorld, epoch: string, isWhole: boolean, upstreams: readonly Upstream[]): void => {
	world.version += 1;
	mutateDirectoryCopy(world.copy, {
		epoch, version: world.version, isWhole, upstreams: upstreams.map(upstream => ({...upstream, areDiskCopiesUnchanged: false})),
	}, 0);
};

const newReady = (ids: string): Upstream[] => ids.split(', ').map(id => newAnnounced(id, UPSTREAM_STATE.Ready, 1));

Given('a directory copy with upstreams {string} of leader {string}', function (this: DiscoveryWorld, ids: string, epoch: string) {
	this.copy = newDirectoryCopy();
	this.version = 0;
	sendChange(this, epoch, true, newReady(ids));
});

Given('a directory copy that follows the directory', function (this: DiscoveryWorld) {
	this.copy = newDirectoryCopy();
});

const follow = ({copy, directory}: DiscoveryWorld): void => {
	const {version} = directory!;
	mutateDirectoryCopy(copy, {
		epoch: 'one', version, isWhole: copy.version === 0, upstreams: getChangesSince(directory!, copy.version),
	}, 0);
};

/** Returns the sequence of the next announcement of an upstream. */
const getNextSequence = ({directory}: DiscoveryWorld, id: string): number => directory!.entries.get(id)!.upstream.sequence + 1;

const EVENTS: Readonly<Record<string, (world: DiscoveryWorld, id: string) => void>> = {
	ready(world, id) {
		announce(world, id, UPSTREAM_STATE.Ready, getNextSequence(world, id));
	},
	draining(world, id) {
		announce(world, id, UPSTREAM_STATE.Draining, getNextSequence(world, id));
	},
	silent({directory}) {
		mutateSilentUpstreams(directory!, SILENCE_MS, SILENCE_MS + 1);
	},
	gone({directory}, id) {
		mutateDeparture(directory!, {instanceId: id, bornAt: 0}, 0);
	},
	'replaced and then ready'(world, id) {
		world.addresses.set('other', world.addresses.get(id)!);
		announce(world, 'other', UPSTREAM_STATE.Ready, 1);
		announce(world, id, UPSTREAM_STATE.Ready, getNextSequence(world, id));
	},
};

When(/^upstream "(.*)" is (ready|draining|silent|gone|replaced and then ready)$/, function (this: DiscoveryWorld, id: string, event: string) {
	EVENTS[event](this, id);
	follow(this);
});

Then('upstream {string} is {string} in the directory and {string} in the copy', function (this: DiscoveryWorld, id: string, state: string, copied: string) {
	assert.equal(this.directory!.entries.get(id)?.upstream.state, state);
	assert.equal(this.copy.upstreams.get(id)?.upstream.state ?? 'unknown', copied);
});

When('leader {string} sends a complete update with upstreams {string}', function (this: DiscoveryWorld, epoch: string, ids: string) {
	sendChange(this, epoch, true, newReady(ids));
});

When('leader {string} sends an update that {string} is {string}', function (this: DiscoveryWorld, epoch: string, id: string, state: string) {
	sendChange(this, epoch, false, [newAnnounced(id, state as UpstreamStateValue, 2)]);
});

When('leader {string} sends an update with upstream {string} at the address of {string}', function (this: DiscoveryWorld, epoch: string, id: string, other: string) {
	sendChange(this, epoch, true, [newAnnounced(id, UPSTREAM_STATE.Ready, 1, this.copy.upstreams.get(other)!.upstream.address)]);
});

When('leader {string} sends an update with the draining upstream {string} at the address of {string}', function (this: DiscoveryWorld, epoch: string, id: string, other: string) {
	sendChange(this, epoch, true, [newAnnounced(id, UPSTREAM_STATE.Draining, 1, this.copy.upstreams.get(other)!.upstream.address)]);
});

Given('a directory copy with the run of {string} born at {int}', function (this: DiscoveryWorld, instanceId: string, bornAt: number) {
	this.copy = newDirectoryCopy();
	this.version = 0;
	sendChange(this, 'one', true, [newRun(instanceId, bornAt, UPSTREAM_STATE.Ready, 1)]);
});

When('leader {string} sends an update with the run of {string} born at {int}', function (this: DiscoveryWorld, epoch: string, instanceId: string, bornAt: number) {
	sendChange(this, epoch, true, [newRun(instanceId, bornAt, UPSTREAM_STATE.Ready, 9)]);
});

When('{int} ms pass without an update', function (this: DiscoveryWorld, milliseconds: number) {
	mutateUnconfirmedUpstreams(this.copy, GRACE_MS, milliseconds);
});

Then('the directory copy contains {string}', function (this: DiscoveryWorld, ids: string) {
	assert.equal([...this.copy.upstreams.keys()].sort().join(', '), ids);
});

Then('the directory copy contains {string} as {string}', function (this: DiscoveryWorld, id: string, state: string) {
	assert.equal(this.copy.upstreams.get(id)?.upstream.state, state);
});

When('{int} shuffled histories of announcements are tried', (runs: number) => {
	const history = fc.integer({min: 1, max: 8}).chain(length => fc.tuple(
		fc.integer({min: 0, max: length}),
		fc.shuffledSubarray(Array.from({length}, (_, index) => index + 1), {minLength: length}),
	));
	fc.assert(fc.property(history, ([readyCount, order]) => {
		const directory = newDirectory();
		for (const sequence of order) {
			const state = sequence <= readyCount ? UPSTREAM_STATE.Ready : UPSTREAM_STATE.Draining;
			mutateAnnouncement(directory, newAnnounced('a', state, sequence), 0);
		}

		const expected = readyCount === order.length ? UPSTREAM_STATE.Ready : UPSTREAM_STATE.Draining;
		assert.equal(directory.entries.get('a')?.upstream.state, expected);
	}), {numRuns: runs, seed: 7});
});

Then('each ends in the state of its newest announcement', () => undefined);

When('{int} shuffled histories of announcements of several runs are tried', (count: number) => {
	const announcement = fc.record({bornAt: fc.integer({min: 1, max: 3}), sequence: fc.integer({min: 1, max: 5})});
	fc.assert(fc.property(fc.array(announcement, {minLength: 1, maxLength: 12}), history => {
		const directory = newDirectory();
		for (const {bornAt, sequence} of history) {
			mutateAnnouncement(directory, newRun('a', bornAt, UPSTREAM_STATE.Ready, sequence), 0);
		}

		const newestBirth = Math.max(...history.map(({bornAt}) => bornAt));
		const newestSequence = Math.max(...history.filter(({bornAt}) => bornAt === newestBirth).map(({sequence}) => sequence));
		const usable = [...directory.entries.values()].filter(({upstream}) => upstream.state === UPSTREAM_STATE.Ready).map(({upstream}) => upstream);
		assert.deepEqual(usable.map(({bornAt, sequence}) => ({bornAt, sequence})), [{bornAt: newestBirth, sequence: newestSequence}]);
	}), {numRuns: count, seed: 11});
});
