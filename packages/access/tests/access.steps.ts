import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import {
	type TeamKeys, getKeyFaults, getTeamOfKey, hashKey, newKeyTable,
} from '@valelead/access';

type AccessWorld = {
	teams: TeamKeys[];
	keys: string[];
};

const split = (text: string): string[] => text.split(/, ?/v);

Given('team {string} with keys {string} and team {string} with keys {string}', function (this: AccessWorld, first: string, firstKeys: string, second: string, secondKeys: string) {
	this.keys = [...split(firstKeys), ...split(secondKeys)];
	this.teams = [[first, firstKeys], [second, secondKeys]].map(([name, keys]) => ({name, keyHashes: split(keys).map(key => hashKey(key))}));
});

Then('key {string} belongs to team {string} and key {string} to team {string}', function (this: AccessWorld, first: string, firstTeam: string, second: string, secondTeam: string) {
	const table = newKeyTable(this.teams);
	assert.deepEqual([getTeamOfKey(table, first), getTeamOfKey(table, second)], [firstTeam, secondTeam]);
});

Then('keys {string} belong to no team', function (this: AccessWorld, keys: string) {
	const table = newKeyTable(this.teams);
	for (const key of keys.split(', ')) {
		assert.equal(getTeamOfKey(table, key), undefined, key);
	}
});

Then('the table holds none of the keys in plain text', function (this: AccessWorld) {
	const text = JSON.stringify([...newKeyTable(this.teams)]);
	assert.ok(this.keys.every(key => !text.includes(`"${key}"`)));
});

Then('the fault of team {string} says {string}, and names no key', function (this: AccessWorld, team: string, reason: string) {
	const faults = getKeyFaults(this.teams);
	assert.deepEqual(faults, [{team, reason}]);
	assert.ok(this.keys.filter(key => key !== '').every(key => !faults[0].reason.split(' ').includes(key)));
});
