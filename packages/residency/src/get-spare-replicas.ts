import {getHash} from './get-hash.js';
import {getWishedReplicas} from './get-wished-replicas.js';

/**
 * The replicas of a model that its requests do not call for. Requests go to them only when the others fail or are
 * full, so that engines can give their place to other models. The order is the same in every gateway.
 */
export const getSpareReplicas = (model: string, upstreamIds: readonly string[], inProgress: number): ReadonlySet<string> => {
	const ranked = [...upstreamIds].sort((left, right) => getHash(`${model} ${right}`) - getHash(`${model} ${left}`));
	return new Set(ranked.slice(getWishedReplicas(inProgress)));
};
