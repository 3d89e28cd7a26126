#!/usr/bin/env node
// Runs all scenarios. A failure that KNOWN-RED.txt lists is printed and passed over; any other one fails the run.
import {spawnSync} from 'node:child_process';
import {existsSync, readFileSync, rmSync} from 'node:fs';
import process from 'node:process';

const REPORT = 'tests/dist/report.json';

const readKnownRed = () => {
	if (!existsSync('KNOWN-RED.txt')) {
		return [];
	}

	const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line.trim() !== '' && !line.startsWith('#'));
	return lines.map(line => line.split(';')[0].trim());
};

/** Runs cucumber and returns the scenarios of its report. */
const runScenarios = (options, stdio) => {
	rmSync(REPORT, {force: true});
	spawnSync(process.execPath, ['node_modules/@cucumber/cucumber/bin/cucumber.js', ...process.argv.slice(2), ...options], {stdio});
	const features = existsSync(REPORT) ? JSON.parse(readFileSync(REPORT, 'utf8')) : [];
	return features.flatMap(feature => feature.elements.map(element => ({
		name: `${feature.name}: ${element.name}`,
		isPassed: element.steps.every(step => step.result.status === 'passed'),
	})));
};

const planned = runScenarios(['--dry-run'], 'ignore');
const scenarios = runScenarios([], 'inherit');
// A worker that ends takes the scenarios along that it still had to run; they are missing from the report.
const lostCount = planned.length - scenarios.length;
const failed = scenarios.filter(scenario => !scenario.isPassed);
const knownRed = readKnownRed();
const isKnown = scenario => knownRed.includes(scenario.name);
for (const scenario of failed) {
	process.stdout.write(`${isKnown(scenario) ? 'known red' : 'failed'}: ${scenario.name}\n`);
}

if (lostCount > 0) {
	process.stdout.write(`lost: ${lostCount} scenarios did not run to their end\n`);
}

const isGreen = scenarios.length > 0 && lostCount <= 0 && failed.every(scenario => isKnown(scenario));
process.stdout.write(`${scenarios.length - failed.length} passed, ${failed.length + Math.max(0, lostCount)} failed\n`);
process.exitCode = isGreen ? 0 : 1;
