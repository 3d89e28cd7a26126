import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import * as fc from 'fast-check';
import {
	type Directory, type DirectoryCopy, type Upstream, type UpstreamStateValue, UPSTREAM_STATE, getChangesSince, mutateAnnouncement, mutateDeparture, mutateDirectoryCopy, mutateSilent, mutateUnconfirmed, newDirectory, newDirectoryCopy,
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

const newUpstream = (id: string, state: UpstreamStateValue, sequence: number, address = `10.0.0.9:${id.codePointAt(0)}`): Upstream => ({
	id, service: 's', address, dataCentre: 'd', state, slots: 1, sequence, models: [], copiesInMemory: [], copiesOnDisk: [], remainingMs: 0, keeperAddress: '',
});

const announce = (world: DiscoveryWorld, id: string, state: string, sequence: number): void => {
	world.directory ??= newDirectory();
	world.before = world.directory.version;
	mutateAnnouncement(world.directory, newUpstream(id, state as UpstreamStateValue, sequence, world.addresses?.get(id)), 0);
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
	mutateDeparture(this.directory!, id, 0);
});

When('{int} ms pass in silence', function (this: DiscoveryWorld, milliseconds: number) {
	mutateSilent(this.directory!, SILENCE_MS, milliseconds);
});

Then('upstream {string} is {string}', function (this: DiscoveryWorld, id: string, state: string) {
	assert.equal(this.directory!.entries.get(id)?.upstream.state, state);
});

Then('followers learn {int} changes since then', function (this: DiscoveryWorld, count: number) {
	assert.equal(getChangesSince(this.directory!, this.before).length, count);
});

const tell = (world: DiscoveryWorld, epoch: string, isWhole: boolean, upstreams: readonly Upstream[]): void => {
	world.version += 1;
	mutateDirectoryCopy(world.copy, {
		epoch, version: world.version, isWhole, upstreams,
	}, 0);
};

const newReady = (ids: string): Upstream[] => ids.split(', ').map(id => newUpstream(id, UPSTREAM_STATE.Ready, 1));

Given('a follower that holds upstreams {string} of leader {string}', function (this: DiscoveryWorld, ids: string, epoch: string) {
	this.copy = newDirectoryCopy();
	this.version = 0;
	tell(this, epoch, true, newReady(ids));
});

When('leader {string} tells it all that it knows, upstreams {string}', function (this: DiscoveryWorld, epoch: string, ids: string) {
	tell(this, epoch, true, newReady(ids));
});

When('leader {string} tells it that {string} is {string}', function (this: DiscoveryWorld, epoch: string, id: string, state: string) {
	tell(this, epoch, false, [newUpstream(id, state as UpstreamStateValue, 2)]);
});

When('leader {string} tells it of upstream {string} at the address of {string}', function (this: DiscoveryWorld, epoch: string, id: string, other: string) {
	tell(this, epoch, true, [newUpstream(id, UPSTREAM_STATE.Ready, 1, this.copy.upstreams.get(other)!.upstream.address)]);
});

When('{int} ms pass without more', function (this: DiscoveryWorld, milliseconds: number) {
	mutateUnconfirmed(this.copy, GRACE_MS, milliseconds);
});

Then('the follower holds {string}', function (this: DiscoveryWorld, ids: string) {
	assert.equal([...this.copy.upstreams.keys()].sort().join(', '), ids);
});

Then('the follower holds {string} as {string}', function (this: DiscoveryWorld, id: string, state: string) {
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
			mutateAnnouncement(directory, newUpstream('a', state, sequence), 0);
		}

		const expected = readyCount === order.length ? UPSTREAM_STATE.Ready : UPSTREAM_STATE.Draining;
		assert.equal(directory.entries.get('a')?.upstream.state, expected);
	}), {numRuns: runs, seed: 7});
});

Then('each ends in the state of its newest announcement', () => undefined);
