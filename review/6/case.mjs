// A draining engine whose heartbeats do not arrive for a while gets requests again.
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
/** The engine is cut off from this long after its heartbeat that says that it drains, in milliseconds, just before the next one. */
const CUT_AFTER_MS = 1100;
/** The cut lasts as long as `fleetbench kinds` says of `srv_cut`, in milliseconds. */
const CUT_MS = 5000;
/** The engine serves for this long after the acknowledgement, in milliseconds; then it deregisters and ends. */
const SERVES_MS = 9000;
const AFTERWARDS_MS = 500;
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
	{name: 'front-b-2', zone: 'uio-b', roles: ['gateway', 'controller']},
];

const record = new Record(path.join(import.meta.dirname, 'record.txt'));
const installation = new Installation();
const engines = [];
const outerMachines = [];
/** The machine that each request was sent to, by the id of the request. */
const machineOf = new Map();
/** The status of each request's answer, or the error that its client met, by the id of the request. */
const resultOf = new Map();
const answers = new Map();
const sending = {isEnding: false};

const sendRequest = async number => {
	// The engine is cut off from the machines of the core too, so that no request goes through these.
	const machine = outerMachines[number % outerMachines.length];
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

const play = async () => {
	await installation.start(LAYOUT);
	outerMachines.push(...installation.machines.filter(({hasDisk}) => !hasDisk));
	const {controlAddresses} = installation;
	await callControl(controlAddresses, {
		method: 'POST',
		path: '/-/config/replace',
		headers: {'content-type': 'application/json'},
		body: CONFIGURATION,
	});
	record.note('configuration 3 acknowledged');
	// One engine of five is cut off: a share of 0.2.
	for (const [index, zone] of ['uio-a', 'uio-b', 'uio-c', 'uio-a', 'uio-c'].entries()) {
		const engine = new Engine({
			id: `i-${process.pid}${index + 1}`, host: installation.getHost(3, index + 1), port: installation.enginePort, zone, service: SERVICE, controlAddresses,
		});
		await engine.start();
		engines.push(engine);
	}

	const allSent = sendRequests();
	await wait(6000);
	const leaving = engines.find(({zone}) => zone === 'uio-b');
	const {status, at: ackedAt} = await leaving.drain();
	record.note(`${leaving.id} says that it drains; acknowledged with ${status}`, ackedAt);
	await wait(CUT_AFTER_MS);
	if (IS_TROUBLED) {
		leaving.isCutOff = true;
		record.note(`${leaving.id} is cut off from the core and from control, not from front-a-2 and front-b-2`);
	}

	await wait(CUT_MS);
	leaving.isCutOff = false;
	record.note(IS_TROUBLED ? 'the cut heals' : 'no cut');
	await wait(ackedAt + SERVES_MS - Date.now());
	await leaving.deregister();
	record.note(`${leaving.id} has deregistered`);
	leaving.stop();
	record.note(`${leaving.id} ends`);
	await wait(AFTERWARDS_MS);
	sending.isEnding = true;
	await allSent;
	const judged = leaving.runs.filter(run => run.at > ackedAt + BOUNDS.drain_ms + MARGIN_MS);
	for (const run of judged) {
		record.note(`${leaving.id} runs ${run.requestId}, sent to ${machineOf.get(run.requestId)}, ${run.at - ackedAt} ms after the acknowledgement`, run.at);
	}

	const lost = judged.filter(run => resultOf.get(run.requestId) !== 200);
	record.note(`judged requests that ${leaving.id} had begun to run and that got no success: ${lost.map(run => `${run.requestId} ${resultOf.get(run.requestId)}`).join(', ') || 'none'}`);
	for (const [requestId, result] of resultOf) {
		const ranAt = engines.filter(engine => engine.runs.some(run => run.requestId === requestId)).map(({id}) => id);
		record.note(`${requestId} sent to ${machineOf.get(requestId)}, answered ${result}, run by ${ranAt.join(', ') || 'none'}`);
	}

	record.note(`answers: ${JSON.stringify([...answers])}; own ends of processes: ${JSON.stringify(installation.ownEnds)}`);
	const others = engines.filter(engine => engine !== leaving).map(engine => engine.runs.length);
	record.note(`runs of the other engines: ${others.join(', ')}; runs of ${leaving.id} before the acknowledgement: ${leaving.runs.filter(run => run.at <= ackedAt).length}`);
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
