import {getTarget} from './get-target.js';
import type {Demand} from './demand.js';
import type {GatewayRequest} from './gateway-request.js';
import type {ModelRequests} from './model-requests.js';

/** Lists the models that have requests at this gateway, each with its number of waiting requests. */
export const getModelRequests = (waiting: readonly Demand[], inProgress: readonly GatewayRequest[]): ModelRequests[] => {
	const models = new Map<string, ModelRequests>();
	for (const {service, head} of inProgress) {
		models.set(getTarget(service, head.model, ''), {service, model: head.model, waiting: 0});
	}

	for (const {service, model} of waiting) {
		const key = getTarget(service, model, '');
		const requests = models.get(key) ?? {service, model, waiting: 0};
		requests.waiting += 1;
		models.set(key, requests);
	}

	return [...models.values()];
};
