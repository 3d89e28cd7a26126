import {assertNever} from '@valelead/common';
import {Random} from '@valelead/emulator';
import type {CallResult} from './call-result.js';
import {LabInstallation} from './lab-installation.js';
import {LabTraffic} from './lab-traffic.js';
import type {Pattern} from './pattern.js';
import type {Play} from './play.js';

type PatternEvent = Pattern['events'][number];

/** Engines have announced themselves and gateways know them before callers come, in milliseconds. */
const LEAD_MS = 3000;

/** An ending engine is told of this long before it goes, and ends this long after its notice, in milliseconds. */
const ENGINE_END_MS = 1500;

const carryOut = (event: PatternEvent, installation: LabInstallation, traffic: LabTraffic): void => {
	const {clock} = installation;
	switch (event.kind) {
		case 'burst': {
			traffic.setFactor(event.className, event.factor);
			clock.schedule(event.forMs, () => {
				traffic.setFactor(event.className, 1);
			});
			break;
		}

		case 'shift': {
			traffic.setWeights(event.className, event.weights);
			break;
		}

		case 'crash': {
			installation.engines[event.engine].end();
			break;
		}

		case 'restart': {
			const {engine} = installation.engines[event.engine];
			installation.engines[event.engine].end();
			clock.schedule(event.downMs, () => {
				installation.startEngine(engine.diskCopies);
				installation.announce();
			});
			break;
		}

		case 'crashing': {
			installation.crashDownMs = event.downMs;
			for (let index = 0; index < event.count; index += 1) {
				traffic.repeatCrashing(event.className, `crashing-${index}`, event.everyMs, clock.now() + event.forMs);
			}

			break;
		}

		case 'limit': {
			installation.engines[event.engine].limitPerSecond = event.perSecond;
			break;
		}

		case 'join': {
			installation.startEngine();
			installation.announce();
			break;
		}

		case 'leave': {
			const engine = installation.engines[event.engine];
			engine.drain();
			installation.announce();
			clock.schedule(event.noticeMs + ENGINE_END_MS, () => {
				engine.end();
				installation.announce();
			});
			break;
		}

		default: {
			assertNever(event);
		}
	}
};

/** Plays a pattern once; the same seed gives the same callers. */
export const playPattern = async (pattern: Pattern, seed: number, isLogged = false): Promise<Play> => {
	const installation = new LabInstallation(pattern, new Random(seed), isLogged);
	const {clock} = installation;
	await clock.runUntil(LEAD_MS);
	const results: CallResult[] = [];
	const traffic = new LabTraffic(pattern, installation, new Random(seed + 1), result => {
		results.push({...result, at: result.at - LEAD_MS});
	});
	for (const event of pattern.events) {
		clock.schedule(event.at, () => {
			carryOut(event, installation, traffic);
		});
	}

	await clock.runUntil(LEAD_MS + pattern.lengthMs);
	traffic.stop();
	const longestMs = Math.max(...pattern.classes.map(callerGroup => callerGroup.deadlineMs));
	await clock.runUntil(LEAD_MS + pattern.lengthMs + longestMs);
	return {
		seed,
		results,
		crashes: installation.crashes,
		quarantined: installation.quarantine.quarantined.length,
		loads: installation.engines.map(({id, engine, refusedOrders}) => ({id, ...engine.counts, refusedOrders})),
	};
};
