import assert from 'node:assert/strict';
import {setTimeout as wait} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {RESULT_CODE, SYSTEM_CLOCK, TimerService} from '@valelead/common';
import {type ChannelPool, Consensus} from '@valelead/protocol';
import {ControllerPeers} from 'valelead-daemon';

type Conduct = {
	readonly isStandby: boolean;
	readonly isFormed: boolean;
	readonly voterAddresses: readonly string[];
	readonly delayMs: number;
};

type PeersWorld = {
	peers: ControllerPeers;
	conducts: Map<string, Conduct>;
	/** Who names which leader when it is asked to let a voter in. */
	redirections: Map<string, string>;
	asked: string[];
};

const split = (text: string): string[] => text === '' ? [] : text.split(', ');

const identify = async ({conducts}: PeersWorld, address: string): Promise<object> => {
	const conduct = conducts.get(address);
	if (!conduct) {
		throw new Error(`${address} is down`);
	}

	await wait(conduct.delayMs);
	return {
		...conduct, id: conduct.isStandby ? '' : address, vm: address, leaderAddress: '', formation: [],
	};
};

const join = ({redirections, asked}: PeersWorld, address: string): object => {
	asked.push(address);
	const leaderAddress = redirections.get(address);
	return leaderAddress === undefined ? {code: RESULT_CODE.Ok, leaderAddress: address} : {code: RESULT_CODE.NotLeader, leaderAddress};
};

Given('a voter whose settings name {string}', function (this: PeersWorld, addresses: string) {
	this.conducts = new Map();
	this.redirections = new Map();
	this.asked = [];
	const pool = {
		get: (address: string) => ({
			unary: async (method: unknown) => method === Consensus.method.join ? join(this, address) : identify(this, address),
		}),
	};
	this.peers = new ControllerPeers({
		vm: 'self', ownAddress: 'self', addresses: split(addresses), pool: pool as unknown as ChannelPool, timers: new TimerService(SYSTEM_CLOCK),
	});
});

When('{string} is without a disk and names {string} after {int} ms', function (this: PeersWorld, address: string, voters: string, delayMs: number) {
	this.conducts.set(address, {
		isStandby: true, isFormed: false, voterAddresses: split(voters), delayMs,
	});
});

When('{string} belongs to a quorum', function (this: PeersWorld, address: string) {
	this.conducts.set(address, {
		isStandby: false, isFormed: true, voterAddresses: [], delayMs: 0,
	});
});

When('{string} is a voter without a quorum', function (this: PeersWorld, address: string) {
	this.conducts.set(address, {
		isStandby: false, isFormed: false, voterAddresses: [], delayMs: 0,
	});
});

When('a request to be let in at {string} is answered with leader {string}', function (this: PeersWorld, address: string, leader: string) {
	this.redirections.set(address, leader);
});

Then('{string} are found, of which {string} can vote', async function (this: PeersWorld, addresses: string, voters: string) {
	const found = await this.peers.find();
	assert.deepEqual(found.map(({voter}) => voter.address), split(addresses));
	assert.deepEqual(found.filter(({canVote}) => canVote).map(({voter}) => voter.address), split(voters));
});

Then('{string} are asked to let it in, and the last one does', async function (this: PeersWorld, addresses: string) {
	await this.peers.askToJoin({
		id: 'self', vm: 'self', address: 'self', isLearner: false,
	}, '');
	assert.deepEqual(this.asked, split(addresses));
});
