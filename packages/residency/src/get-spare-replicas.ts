import {getHash} from './get-hash.js';
import {getWishedReplicas} from './get-wished-replicas.js';
import {isShortOfCopies} from './is-short-of-copies.js';
import type {Replica} from './replica.js';

/**
 * The replicas of a model that its requests do not call for. Requests go to them only when the others fail or are
 * full, so that engines can give their place to other models. Engines with few copies serve first, as the others can
 * load more of the models that are asked for now and then. The order is the same in every gateway.
 */
export const getSpareReplicas = (model: string, replicas: readonly Replica[], inProgress: number, slots: number): ReadonlySet<string> => {
	const mostCopies = Math.max(...replicas.map(replica => replica.copies));
	const ranked = replicas
		.map(({upstreamId, copies}) => ({upstreamId, isShort: isShortOfCopies(copies, mostCopies), hash: getHash(`${model} ${upstreamId}`)}))
		.sort((left, right) => (Number(right.isShort) - Number(left.isShort)) || (right.hash - left.hash));
	return new Set(ranked.slice(getWishedReplicas(inProgress, slots)).map(replica => replica.upstreamId));
};
