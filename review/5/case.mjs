// An engine that is full sends some of its rejections a second time, late: while the second attempt of the same request runs.
import {readFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {call, callControl} from '../support-2/call.mjs';
import {Engine} from '../support-2/engine.mjs';
import {FullEngine} from '../support-2/full-engine.mjs';
import {Installation} from '../support-2/installation.mjs';
import {Record} from '../support-2/record.mjs';

const IS_TROUBLED = process.env.TROUBLE !== '0';
/** `x` of `garble` with `how = "extra late"` in `sites/fad-quito.toml`: the share of its answers that the engine sends a second time. */
const SURPLUS_SHARE = 0.03;
const SLOTS = 6;
const WORK_MS = 86;
/** The length of `garble` with `how = "extra late"` in `sites/fad-quito.toml`, and the time from one to the next, in milliseconds. */
const GARBLE_MS = 5000;
const GARBLE_EVERY_MS = 8000;
const RUN_MS = 85_000;
/** Of the other service: two of the three engines are sound, so that the faulty ones are a third; the site allows 0.6. */
const SOUND_ENGINES = 2;
const SOUND_CLIENTS = 3;
const CLIENTS = 21;
const PAUSE_MS = 20;
const LAYOUT = [
	{
		name: 'front-a-1', zone: 'uio-a', roles: ['gateway', 'controller'], hasDisk: true,
	},
	{
		name: 'front-b-1', zone: 'uio-b', roles: ['gateway', 'controller'], hasDisk: true,
	},
	{
		name: 'front-c-1', zone: 'uio-c', roles: ['gateway', 'controller'], hasDisk: true,
	},
	...['a-2', 'a-3', 'b-2', 'c-2'].map(name => ({name: `front-${name}`, zone: `uio-${name[0]}`, roles: ['gateway', 'controller']})),
];

const record = new Record(path.join(import.meta.dirname, 'record.txt'));
const installation = new Installation();
const resultOf = new Map();
const soundEngines = [];
let engine;

/** A client that sends one request after the other, each with an id of its own. */
const runClient = async (index, url, endsAt) => {
	for (let number = 1; Date.now() < endsAt; number += 1) {
		const machine = installation.machines[(index + number) % installation.machines.length];
		const requestId = `c${process.pid}-${index}-${number}`;
		try {
			const {status} = await call({
				...installation.getFrontend(machine),
				method: 'POST',
				path: url,
				headers: {host: 'case.example', 'x-request-id': requestId, 'x-deadline-ms': '4000'},
				body: 'a grade',
				timeoutMs: 5000,
			});
			resultOf.set(requestId, status);
		} catch (error) {
			resultOf.set(requestId, error.code ?? error.message);
		}

		await wait(PAUSE_MS);
	}
};

/** Lets the engine be faulty for a while, again and again. */
const garble = async endsAt => {
	while (Date.now() + GARBLE_MS < endsAt) {
		engine.beginGarble(SURPLUS_SHARE);
		record.note('the engine begins to send a share of its answers a second time');
		await wait(GARBLE_MS);
		engine.endGarble();
		record.note('the engine is sound again');
		await wait(GARBLE_EVERY_MS - GARBLE_MS);
	}
};

const play = async () => {
	await installation.start(LAYOUT);
	const {controlAddresses} = installation;
	const body = await readFile(path.join(import.meta.dirname, 'configuration.json'), 'utf8');
	await callControl(controlAddresses, {
		method: 'POST', path: '/-/config/replace', headers: {'content-type': 'application/json'}, body,
	});
	record.note('configuration 3 acknowledged');
	engine = new FullEngine({
		id: `i-${process.pid}`,
		host: installation.getHost(3, 1),
		port: installation.enginePort,
		zone: 'uio-a',
		service: 'matdb-api',
		controlAddresses,
		workMs: WORK_MS,
		slots: SLOTS,
		surplusShare: 0,
	});
	await engine.start();
	for (let index = 1; index <= SOUND_ENGINES; index += 1) {
		const sound = new Engine({
			id: `i-${process.pid}-${index}`, host: installation.getHost(3, index + 1), port: installation.enginePort, zone: 'uio-a', service: 'record-api', controlAddresses, workMs: WORK_MS,
		});
		await sound.start();
		soundEngines.push(sound);
	}

	await wait(4000);
	const endsAt = Date.now() + RUN_MS;
	const garbling = IS_TROUBLED ? garble(endsAt) : undefined;
	await Promise.all(Array.from({length: CLIENTS + SOUND_CLIENTS}, async (_value, index) => runClient(index, index < CLIENTS ? '/grade/look' : '/record/look', endsAt)));
	await garbling;
	await wait(500);
	const runsOf = new Map();
	for (const {requestId} of [engine, ...soundEngines].flatMap(({runs}) => runs)) {
		runsOf.set(requestId, (runsOf.get(requestId) ?? 0) + 1);
	}

	for (const {of, during, at} of engine.surpluses) {
		record.note(`the engine sends its rejection of ${of} a second time while ${during} runs on the connection`, at);
	}

	for (const [requestId, status] of resultOf) {
		record.note(`${requestId} answered ${status}, runs: ${runsOf.get(requestId) ?? 0}`);
	}

	const refused = [...resultOf].filter(([id, status]) => [408, 421, 429, 503].includes(status) && runsOf.has(id));
	const repeated = [...runsOf].filter(([, count]) => count > 1);
	const counts = new Map();
	for (const status of resultOf.values()) {
		counts.set(status, (counts.get(status) ?? 0) + 1);
	}

	record.note(`answers to clients: ${JSON.stringify([...counts])}; own ends of processes: ${JSON.stringify(installation.ownEnds)}`);
	record.note(`answers of the engine: ${engine.answers}, of these rejections: ${engine.rejections}; rejections sent a second time: ${engine.surpluses.length}`);
	record.note(`REFUSED: ${refused.length} requests were refused though they ran: ${refused.map(([id, status]) => `${id} ${status}`).join(', ') || 'none'}`);
	record.note(`TWICE: ${repeated.length} requests ran more than once: ${repeated.map(([id]) => id).join(', ') || 'none'}`);
	if ((counts.get(200) ?? 0) < 200 || engine.rejections === 0 || (IS_TROUBLED && engine.surpluses.length === 0)) {
		return 2;
	}

	return refused.length > 0 || repeated.length > 0 ? 1 : 0;
};

let code = 2;
try {
	code = await play();
} catch (error) {
	record.note(`the case could not run: ${error.stack}`);
} finally {
	for (const each of [engine, ...soundEngines]) {
		each?.stop();
	}

	await installation.stop();
	record.note(`exit code ${code}`);
	await record.end();
}

// The status of an uncaught error is 1, so that another one says that the rule was broken.
process.exitCode = code === 1 ? 10 : code;
