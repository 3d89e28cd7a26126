import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {newUpstream} from '../../../tests/support/new-upstream.js';
import {type EngineView, EngineDiscovery} from 'valelead-daemon';

/** A change of the set of known engines at a time. */
type Change = {
	readonly at: number;
	readonly apply: (engines: Map<string, EngineView>) => void;
};

type KnowledgeWorld = {
	changes: Change[];
};

const SERVICE = 'llm';
const LONG_AGO = -60_000;
const STEP_MS = 50;

const split = (text: string): string[] => text.split(', ');

const newView = (id: string, isManaged: boolean): EngineView => ({
	upstream: newUpstream(id, {service: SERVICE}),
	models: [],
	inProgressByModel: new Map(),
	loads: [],
	copiesInMemory: [],
	copiesOnDisk: [],
	inProgress: 0,
	isManaged,
});

const reach = (world: KnowledgeWorld, ids: string, at: number): void => {
	world.changes ??= [];
	world.changes.push({
		at,
		apply(engines) {
			for (const id of split(ids)) {
				engines.set(id, newView(id, true));
			}
		},
	});
};

Given('engines {string} were reached long ago', function (this: KnowledgeWorld, ids: string) {
	reach(this, ids, LONG_AGO);
});

When('engine(s) {string} is/are reached at {int} ms', function (this: KnowledgeWorld, ids: string, at: number) {
	reach(this, ids, at);
});

When('engine {string} is removed at {int} ms', function (this: KnowledgeWorld, id: string, at: number) {
	this.changes.push({
		at,
		apply(engines) {
			engines.delete(id);
		},
	});
});

When('all engines are removed at {int} ms', function (this: KnowledgeWorld, at: number) {
	this.changes.push({
		at,
		apply(engines) {
			engines.clear();
		},
	});
});

When('the sidecar of {string} is lost at {int} ms', function (this: KnowledgeWorld, id: string, at: number) {
	this.changes.push({
		at,
		apply(engines) {
			engines.set(id, newView(id, false));
		},
	});
});

/** Replays the changes in small steps up to a time, as a gateway is notified of them; returns true if the engines are known well enough then. */
const isSettledAt = ({changes}: KnowledgeWorld, endsAt: number): boolean => {
	const knowledge = new EngineDiscovery();
	const engines = new Map<string, EngineView>();
	const due = [...changes];
	for (let now = due[0].at; now <= endsAt; now += STEP_MS) {
		while (due.length > 0 && due[0].at <= now) {
			due.shift()!.apply(engines);
		}

		knowledge.update([...engines.values()], now);
	}

	return knowledge.isSettled(SERVICE, endsAt);
};

Then('the engines are not known well enough at {int} ms', function (this: KnowledgeWorld, at: number) {
	assert.equal(isSettledAt(this, at), false);
});

Then('the engines are known well enough at {int} ms', function (this: KnowledgeWorld, at: number) {
	assert.equal(isSettledAt(this, at), true);
});

Then('the engines are known well enough at all times from {int} ms to {int} ms', function (this: KnowledgeWorld, from: number, to: number) {
	for (let at = from; at <= to; at += STEP_MS) {
		assert.equal(isSettledAt(this, at), true, `at ${at} ms`);
	}
});
