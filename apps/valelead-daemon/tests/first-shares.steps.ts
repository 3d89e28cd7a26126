import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {InitialRetryShares} from 'valelead-daemon';

type SharesWorld = {
	shares: InitialRetryShares;
	now: number;
	term: number;
	firstRoutingTerm: number | undefined;
	vms: string[];
};

const getNames = (count: number): string[] => Array.from({length: count}, (_, index) => `gateway-${index}`);

/** Term of the leader under test. */
const TERM = 2;

Given('a leader with {int} gateway(s)', function (this: SharesWorld, count: number) {
	this.now = 0;
	this.term = TERM;
	this.firstRoutingTerm = undefined;
	this.vms = getNames(count);
	this.shares = new InitialRetryShares({
		clock: {now: () => this.now, wallNow: () => this.now},
		getTerm: () => this.term,
		getFirstRoutingTerm: () => this.firstRoutingTerm,
		getGatewayCount: () => this.vms.length,
	});
	for (const vm of this.vms) {
		this.shares.noteReport({vm}, {routingVersion: 0});
	}
});

When('the first routing of the installation is proposed in its term', function (this: SharesWorld) {
	this.firstRoutingTerm = TERM;
	this.shares.refreshState();
});

When('the first routing of the installation is proposed in an earlier term', function (this: SharesWorld) {
	this.firstRoutingTerm = TERM - 1;
	this.shares.refreshState();
});

When('the first routing of the installation is proposed in its term, {int} ms ago', function (this: SharesWorld, ms: number) {
	this.firstRoutingTerm = TERM;
	this.shares.refreshState();
	this.now += ms;
});

When('the first routing of the installation is proposed in its term, after a gateway had another routing', function (this: SharesWorld) {
	this.shares.noteReport({vm: 'gateway-9'}, {routingVersion: 7});
	this.firstRoutingTerm = TERM;
	this.shares.refreshState();
});

When('the first routing of the installation is proposed in its term, before it was elected once more', function (this: SharesWorld) {
	this.firstRoutingTerm = TERM;
	this.shares.refreshState();
	this.term += 1;
});

When('the first gateway receives it and restarts', function (this: SharesWorld) {
	this.shares.claimShare({vm: this.vms[0]});
	this.shares.noteReport({vm: this.vms[0]}, {routingVersion: 0});
});

When('{int} more gateways connect', function (this: SharesWorld, count: number) {
	this.vms = getNames(this.vms.length + count);
});

Then('the gateways receive the share counts {string}', function (this: SharesWorld, expected: string) {
	assert.equal(this.vms.map(vm => this.shares.claimShare({vm})).join(' '), expected);
});
