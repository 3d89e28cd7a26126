import {CALL_OUTCOME} from './call-outcome.js';
import type {CallResult} from './call-result.js';
import type {Pattern} from './pattern.js';
import type {Play} from './play.js';
import type {PlayFigures} from './play-figures.js';

const getShare = (results: readonly CallResult[], outcome: CallResult['outcome']): number => results.length === 0 ? 0 : results.filter(result => result.outcome === outcome).length / results.length;

const getPercentile = (results: readonly CallResult[], part: number): number => {
	const waits = results.map(result => result.waitedMs).sort((left, right) => left - right);
	return waits[Math.floor(waits.length * part)] ?? 0;
};

const getCredit = ({classes}: Pattern, results: readonly CallResult[]): Pick<PlayFigures, 'credit' | 'price'> => {
	let owed = 0;
	let earned = 0;
	let priced = 0;
	for (const {className, outcome, pricedShare} of results) {
		const {worth, lateWorth} = classes.find(({name}) => name === className)!;
		owed += worth;
		earned += outcome === CALL_OUTCOME.InTime ? worth : 0;
		earned += outcome === CALL_OUTCOME.Late ? lateWorth : 0;
		priced += worth * pricedShare;
	}

	return owed === 0 ? {credit: 0, price: 0} : {credit: earned / owed, price: priced / owed};
};

/** The figures of one play: the part of the credit earned, of requests not served, and what each class saw. */
export const getPlayFigures = (pattern: Pattern, {results, loads, crashes, quarantined}: Play): PlayFigures => ({
	...getCredit(pattern, results),
	unserved: getShare(results, CALL_OUTCOME.Refused) + getShare(results, CALL_OUTCOME.InVain),
	crashes,
	quarantined,
	copyLoads: loads.reduce((sum, engine) => sum + engine.memory + engine.disk, 0),
	storeLoads: loads.reduce((sum, engine) => sum + engine.store, 0),
	refusedOrders: loads.reduce((sum, engine) => sum + engine.refusedOrders, 0),
	classes: Object.fromEntries(pattern.classes.map(({name}) => {
		const own = results.filter(result => result.className === name);
		return [name, {
			requests: own.length,
			inTime: getShare(own, CALL_OUTCOME.InTime),
			late: getShare(own, CALL_OUTCOME.Late),
			refused: getShare(own, CALL_OUTCOME.Refused),
			inVain: getShare(own, CALL_OUTCOME.InVain),
			p50Ms: getPercentile(own, 0.5),
			p99Ms: getPercentile(own, 0.99),
		}];
	})),
});
