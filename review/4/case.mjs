// A departed engine comes back into the directory of a new leader with a late heartbeat.
import {readFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {call, callControl} from '../support-2/call.mjs';
import {Engine} from '../support-2/engine.mjs';
import {BOUNDS, Installation} from '../support-2/installation.mjs';
import {Record} from '../support-2/record.mjs';

const IS_TROUBLED = process.env.TROUBLE !== '0';
const SERVICE = 'matdb-api';
const HOST_NAME = 'case.example';
const CONFIGURATION = await readFile(path.join(import.meta.dirname, '../support-2/configuration.json'), 'utf8');
/** The heartbeat arrives this long after it was sent, in milliseconds. */
const HEARTBEAT_DELAY_MS = 3000;
/** The engine serves for this long after the acknowledgement of its departure, in milliseconds, and ends. */
const SERVES_MS = 8000;
/** Requests are sent for this long after the end of the engine, in milliseconds. */
const AFTERWARDS_MS = 1000;
/** Added to each bound, for the clocks and timers of this script, in milliseconds. */
const MARGIN_MS = 300;
const REQUEST_INTERVAL_MS = 25;

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
	{name: 'front-a-2', zone: 'uio-a', roles: ['gateway', 'controller']},
];

const record = new Record(path.join(import.meta.dirname, 'record.txt'));
const installation = new Installation();
const engines = [];
/** The machine that each request was sent to, by the id of the request. */
const machineOf = new Map();
/** The status of each request's answer, or the error that its client met, by the id of the request. */
const resultOf = new Map();
const answers = new Map();
const sending = {isEnding: false};

const sendRequest = async number => {
	const machine = installation.machines[number % installation.machines.length];
	const requestId = `c${process.pid}-${number}`;
	machineOf.set(requestId, machine.name);
	let result;
	try {
		const {status} = await call({
			...installation.getFrontend(machine), method: 'POST', path: '/grade/look', headers: {host: HOST_NAME, 'x-request-id': requestId, 'x-deadline-ms': '1500'}, body: 'a grade', timeoutMs: 2000,
		});
		result = status;
	} catch (error) {
		result = error.code ?? error.message;
	}

	resultOf.set(requestId, result);
	answers.set(result, (answers.get(result) ?? 0) + 1);
};

const sendRequests = async () => {
	const calls = [];
	for (let number = 1; !sending.isEnding; number += 1) {
		calls.push(sendRequest(number));
		await wait(REQUEST_INTERVAL_MS);
	}

	await Promise.all(calls);
};

const getLeader = async () => {
	for (;;) {
		for (const address of installation.controlAddresses) {
			try {
				const [host, port] = address.split(':');
				const {status} = await call({host, port: Number(port), path: '/-/config/read'});
				if (status === 200) {
					return installation.machines.find(({ip}) => ip === host);
				}
			} catch {
				// The next one is asked.
			}
		}

		await wait(50);
	}
};

const play = async () => {
	await installation.start(LAYOUT);
	const {controlAddresses} = installation;
	await callControl(controlAddresses, {
		method: 'POST',
		path: '/-/config/replace',
		headers: {'content-type': 'application/json'},
		body: CONFIGURATION,
	});
	record.note('configuration 3 acknowledged');
	// One engine a zone, as in `sites/fad-quito.toml`.
	for (const [index, zone] of ['uio-a', 'uio-b', 'uio-c'].entries()) {
		const engine = new Engine({
			id: `i-${process.pid}${index + 1}`, host: installation.getHost(3, index + 1), port: installation.enginePort, zone, service: SERVICE, controlAddresses,
		});
		await engine.start();
		engines.push(engine);
	}

	const allSent = sendRequests();
	await wait(6000);
	const leader = await getLeader();
	const leaving = engines.find(({zone}) => zone !== leader.zone);
	const lateBeat = leaving.newDelayedBeat();
	const beatSentAt = Date.now();
	record.note(`${leader.name} leads; engine ${leaving.id} sends a heartbeat, which will arrive ${HEARTBEAT_DELAY_MS} ms late, to ${leaving.heartbeatAddress}`);
	const {status, address} = await leaving.deregister();
	const ackedAt = Date.now();
	record.note(`the departure of ${leaving.id} is acknowledged with ${status} by ${address}`, ackedAt);
	let calmFrom = ackedAt;
	const restarting = (async () => {
		await wait(100);
		if (IS_TROUBLED) {
			record.note(`SIGKILL to the processes of ${leader.name}`);
			calmFrom = await installation.killAndRestart(leader);
			record.note(`the processes of ${leader.name} were started again`);
		}
	})();
	await wait(beatSentAt + HEARTBEAT_DELAY_MS - Date.now());
	const late = await lateBeat();
	record.note(`the late heartbeat of ${leaving.id} is answered with ${late.status} by ${late.address}`);
	await restarting;
	await wait(ackedAt + SERVES_MS - Date.now());
	leaving.stop();
	record.note(`${leaving.id} ends`);
	await wait(AFTERWARDS_MS);
	sending.isEnding = true;
	await allSent;
	// The core is calm for `contact_ms` before each request that is judged, and the killed machine's own requests are left out.
	const judgedFrom = Math.max(ackedAt + BOUNDS.drain_ms, calmFrom + BOUNDS.contact_ms) + MARGIN_MS;
	const killed = IS_TROUBLED ? leader.name : '';
	const afterwards = leaving.runs.filter(run => run.at > ackedAt + BOUNDS.drain_ms + MARGIN_MS);
	const judged = afterwards.filter(run => run.at > judgedFrom && machineOf.get(run.requestId) !== killed);
	for (const run of afterwards) {
		const remark = judged.includes(run) ? '' : ' (not judged)';
		record.note(`${leaving.id} runs ${run.requestId}, sent to ${machineOf.get(run.requestId)}, ${run.at - ackedAt} ms after the acknowledgement${remark}`, run.at);
	}

	const lost = judged.filter(run => resultOf.get(run.requestId) !== 200);
	record.note(`judged requests that ${leaving.id} had begun to run and that got no success: ${lost.map(run => `${run.requestId} ${resultOf.get(run.requestId)}`).join(', ') || 'none'}`);
	for (const [requestId, result] of resultOf) {
		const ranAt = engines.filter(engine => engine.runs.some(run => run.requestId === requestId)).map(({id}) => id);
		record.note(`${requestId} sent to ${machineOf.get(requestId)}, answered ${result}, run by ${ranAt.join(', ') || 'none'}`);
	}

	record.note(`answers: ${JSON.stringify([...answers])}; own ends of processes: ${JSON.stringify(installation.ownEnds)}`);
	const others = engines.filter(engine => engine !== leaving).map(engine => engine.runs.length);
	record.note(`runs of the other engines: ${others.join(', ')}; runs of ${leaving.id} before the departure: ${leaving.runs.filter(run => run.at <= ackedAt).length}`);
	record.note(`judged runs of ${leaving.id} later than drain_ms = ${BOUNDS.drain_ms} ms after the acknowledgement, through machines in touch: ${judged.length}`);
	if (status !== 200 || leaving.runs.length === 0 || (answers.get(200) ?? 0) < 200) {
		return 2;
	}

	return judged.length > 0 ? 1 : 0;
};

let code = 2;
try {
	code = await play();
} catch (error) {
	record.note(`the case could not run: ${error.stack}`);
} finally {
	sending.isEnding = true;
	for (const engine of engines) {
		engine.stop();
	}

	await installation.stop();
	record.note(`exit code ${code}`);
	await record.end();
}

// The status of an uncaught error is 1, so that another one says that the rule was broken.
process.exitCode = code === 1 ? 10 : code;
