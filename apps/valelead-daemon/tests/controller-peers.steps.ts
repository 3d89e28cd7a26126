import assert from 'node:assert/strict';
import {setTimeout as wait} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {RESULT_CODE, SYSTEM_CLOCK, TimerService} from '@valelead/common';
import {type ChannelPool, Consensus} from '@valelead/protocol';
import {ControllerPeers} from 'valelead-daemon';

/** How a controller replies to an identify call. */
type Behaviour = {
	readonly isStandby: boolean;
	readonly isFormed: boolean;
	readonly voterAddresses: readonly string[];
	readonly delayMs: number;
};

type PeersWorld = {
	peers: ControllerPeers;
	behaviours: Map<string, Behaviour>;
	/** Leader addresses that controllers return when they refuse a join request, by the address of the controller. */
	redirects: Map<string, string>;
	joinRequests: string[];
	/** Addresses of the voters in the voter's own log. */
	logged: readonly string[];
};

const split = (text: string): string[] => text === '' ? [] : text.split(', ');

const identify = async ({behaviours}: PeersWorld, address: string): Promise<object> => {
	const behaviour = behaviours.get(address);
	if (!behaviour) {
		throw new Error(`${address} is down`);
	}

	await wait(behaviour.delayMs);
	return {
		...behaviour, id: behaviour.isStandby ? '' : address, vm: address, leaderAddress: '', formation: [],
	};
};

const join = ({redirects, joinRequests}: PeersWorld, address: string): object => {
	joinRequests.push(address);
	const leaderAddress = redirects.get(address);
	return leaderAddress === undefined ? {code: RESULT_CODE.Ok, leaderAddress: address} : {code: RESULT_CODE.NotLeader, leaderAddress};
};

Given('a voter whose settings list {string}', function (this: PeersWorld, addresses: string) {
	this.behaviours = new Map();
	this.redirects = new Map();
	this.joinRequests = [];
	this.logged = [];
	const pool = {
		get: (address: string) => ({
			unary: async (method: unknown) => method === Consensus.method.join ? join(this, address) : identify(this, address),
		}),
	};
	this.peers = new ControllerPeers({
		vm: 'self', ownAddress: 'self', addresses: split(addresses), pool: pool as unknown as ChannelPool, timers: new TimerService(SYSTEM_CLOCK),
	});
});

When('{string} has no disk and reports the voters {string} after {int} ms', function (this: PeersWorld, address: string, voters: string, delayMs: number) {
	this.behaviours.set(address, {
		isStandby: true, isFormed: false, voterAddresses: split(voters), delayMs,
	});
});

When('{string} belongs to a quorum', function (this: PeersWorld, address: string) {
	this.behaviours.set(address, {
		isStandby: false, isFormed: true, voterAddresses: [], delayMs: 0,
	});
});

When('{string} is a voter without a quorum', function (this: PeersWorld, address: string) {
	this.behaviours.set(address, {
		isStandby: false, isFormed: false, voterAddresses: [], delayMs: 0,
	});
});

When('a join request to {string} returns the leader {string}', function (this: PeersWorld, address: string, leader: string) {
	this.redirects.set(address, leader);
});

When('the log of the voter lists {string}', function (this: PeersWorld, addresses: string) {
	this.logged = split(addresses);
});

Then('{string} are found, of which {string} can vote', async function (this: PeersWorld, addresses: string, voters: string) {
	const found = await this.peers.findVoters();
	assert.deepEqual(found.map(({voter}) => voter.address), split(addresses));
	assert.deepEqual(found.filter(({canVote}) => canVote).map(({voter}) => voter.address), split(voters));
});

Then('{string} receive a join request, and the last one admits the voter', async function (this: PeersWorld, addresses: string) {
	await this.peers.askToJoin({
		id: 'self', vm: 'self', address: 'self', isLearner: false,
	}, '', this.logged);
	assert.deepEqual(this.joinRequests, split(addresses));
});
