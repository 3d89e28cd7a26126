import fc from 'fast-check';
import type {FakeTraffic} from './fake-traffic.js';
import type {RequestCommand} from './request-command.js';

const newRequestCommand = (text: string, run: (traffic: FakeTraffic) => void): RequestCommand => ({
	check: () => true,
	run(_model, traffic) {
		run(traffic);
	},
	toString: () => text,
});

const ENTRY = fc.nat({max: 1});
const AGENT = fc.nat({max: 2});
const KEY = fc.constantFrom('k1', 'k2', 'k3');
const DEADLINE_MS = fc.constantFrom(300, 2500, 6000);

/** Requests, resends, faults and the passing of time, in any order and mix. */
export const REQUEST_COMMANDS: ReadonlyArray<fc.Arbitrary<RequestCommand>> = [
	fc.integer({min: 1, max: 2500}).map(ms => newRequestCommand(`advance ${ms}`, traffic => {
		traffic.advance(ms);
	})),
	fc.tuple(ENTRY, fc.integer({min: 1, max: 12}), DEADLINE_MS).map(([entry, count, deadlineMs]) => newRequestCommand(`${count} completions at ${entry} within ${deadlineMs}`, traffic => {
		for (let index = 0; index < count; index += 1) {
			traffic.arrive(entry, '', deadlineMs);
		}

		traffic.advance(20);
	})),
	fc.tuple(ENTRY, KEY, DEADLINE_MS, fc.nat({max: 60})).map(([entry, key, deadlineMs, ms]) => newRequestCommand(`hold ${key} at ${entry} within ${deadlineMs}, then ${ms}`, traffic => {
		traffic.arrive(entry, key, deadlineMs);
		traffic.advance(ms);
	})),
	fc.tuple(KEY, fc.nat({max: 60})).map(([key, ms]) => newRequestCommand(`hold ${key} at both entries, ${ms} apart`, traffic => {
		traffic.arrive(0, key, 2500);
		traffic.advance(ms);
		traffic.arrive(1, key, 2500);
	})),
	fc.tuple(ENTRY, KEY, fc.nat({max: 80})).map(([entry, key, ms]) => newRequestCommand(`hold ${key} at ${entry}, crash it after ${ms}, resend`, traffic => {
		traffic.arrive(entry, key, 2500);
		traffic.advance(ms);
		traffic.breakCallers(entry);
		traffic.entries[entry].restart();
		traffic.arrive(1 - entry, key, 2500);
	})),
	fc.tuple(AGENT, ENTRY, KEY).map(([agent, entry, key]) => newRequestCommand(`freeze agent ${agent}, send to ${entry}, wait, thaw it`, traffic => {
		traffic.advance(300);
		traffic.agents[agent].process.freeze();
		traffic.arrive(entry, '', 6000);
		traffic.arrive(entry, key, 6000);
		traffic.advance(2200);
		traffic.agents[agent].process.thaw();
		traffic.advance(30);
	})),
	ENTRY.map(entry => newRequestCommand(`crash and restart entry ${entry}`, traffic => {
		traffic.breakCallers(entry);
		traffic.entries[entry].restart();
	})),
	ENTRY.map(entry => newRequestCommand(`freeze entry ${entry} for a while`, traffic => {
		traffic.breakCallers(entry);
		traffic.entries[entry].process.freeze();
		traffic.advance(1800);
		traffic.entries[entry].process.thaw();
	})),
	AGENT.map(agent => newRequestCommand(`restart agent ${agent}`, traffic => {
		traffic.agents[agent].restart();
	})),
	AGENT.map(agent => newRequestCommand(`freeze agent ${agent}`, traffic => {
		traffic.agents[agent].process.freeze();
	})),
	AGENT.map(agent => newRequestCommand(`thaw agent ${agent}`, traffic => {
		traffic.agents[agent].process.thaw();
	})),
	fc.tuple(AGENT, ENTRY).map(([agent, entry]) => newRequestCommand(`cut answers of agent ${agent} to entry ${entry}`, traffic => {
		traffic.network.cut(traffic.agents[agent].vm, traffic.entries[entry].name);
	})),
	ENTRY.map(entry => newRequestCommand(`cut the log from entry ${entry}`, traffic => {
		traffic.network.cut('leader', traffic.entries[entry].name);
	})),
	AGENT.map(agent => newRequestCommand(`drain agent ${agent}, whose leader link is cut`, traffic => {
		traffic.network.cut('leader', traffic.agents[agent].vm);
		traffic.agents[agent].isDrained = true;
		traffic.agents[agent].drainedAt = Math.min(traffic.agents[agent].drainedAt, traffic.time.now);
	})),
	fc.constant(newRequestCommand('lossy network', traffic => {
		traffic.network.makeLossy(400);
	})),
	fc.constant(newRequestCommand('heal', traffic => {
		traffic.heal();
	})),
];
