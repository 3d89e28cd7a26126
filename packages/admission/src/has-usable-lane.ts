import {getUsableLane} from './get-usable-lane.js';
import type {AdmissionState} from './admission-state.js';

/**
 * True if some upstream can take a request of a target now.
 * @param sendsLeft - The number of requests that may still be sent to each upstream that limits its request rate, by VM.
 */
export const hasUsableLane = (state: AdmissionState, target: string, sendsLeft: ReadonlyMap<string, number>, now: number): boolean =>
	state.endpoints.get(target)?.some(endpoint => getUsableLane(state, endpoint, target, sendsLeft, now) !== undefined) === true;
