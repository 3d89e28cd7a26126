import type {PlayFigures} from './play-figures.js';

const getMean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

const getError = (values: readonly number[]): number => {
	const mean = getMean(values);
	const variance = values.reduce((sum, value) => sum + ((value - mean) ** 2), 0) / Math.max(1, values.length - 1);
	return Math.sqrt(variance / Math.max(1, values.length));
};

const formatClass = (name: string, plays: readonly PlayFigures[]): string => {
	const own = plays.map(figures => figures.classes[name]);
	const getText = (key: 'inTime' | 'late' | 'refused' | 'inVain'): string => getMean(own.map(figures => figures[key])).toFixed(3);
	const getMs = (key: 'p50Ms' | 'p99Ms'): string => getMean(own.map(figures => figures[key])).toFixed(0);
	return `  ${name.padEnd(14)} in time ${getText('inTime')} late ${getText('late')} refused ${getText('refused')} in vain ${getText('inVain')} p50 ${getMs('p50Ms')} p99 ${getMs('p99Ms')} ms\n`;
};

const formatDifference = (plays: readonly PlayFigures[], before: readonly PlayFigures[]): string => {
	const formatKey = (key: 'credit' | 'price' | 'unserved'): string => {
		const differences = plays.flatMap((figures, index) => before[index] ? [figures[key] - before[index][key]] : []);
		return `${key} ${getMean(differences).toFixed(4)} ± ${getError(differences).toFixed(4)}`;
	};

	return `  difference, with its standard error: ${formatKey('credit')}, ${formatKey('price')}, ${formatKey('unserved')}\n`;
};

/** The mean figures of several plays of a pattern as text, with the paired difference to earlier plays of the same seeds. */
export const formatFigures = (name: string, plays: readonly PlayFigures[], before: readonly PlayFigures[] | undefined): string => {
	const format = (getFigure: (figures: PlayFigures) => number, digits: number): string => getMean(plays.map(figures => getFigure(figures))).toFixed(digits);
	const shares = `credit ${format(({credit}) => credit, 3)} price ${format(({price}) => price, 3)} unserved ${format(({unserved}) => unserved, 3)}`;
	const loads = `loads from copies ${format(({copyLoads}) => copyLoads, 1)} from the store ${format(({storeLoads}) => storeLoads, 1)}`;
	const head = `${name}: ${shares} ${loads}, orders refused ${format(({refusedOrders}) => refusedOrders, 1)}\n`;
	const classes = Object.keys(plays[0]?.classes ?? {}).map(className => formatClass(className, plays)).join('');
	return `${head}${classes}${before ? formatDifference(plays, before) : ''}`;
};
