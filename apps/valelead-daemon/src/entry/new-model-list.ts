import {Buffer} from 'node:buffer';
import {type Intent, hasAccess} from '@valelead/intent';
import type {CompleteResponse} from './complete-response.js';

/** Creates the response to `GET /v1/models`: the models, versions and adapters that a team may use, in the list format of the OpenAI API. */
export const newModelList = (intent: Intent, team: string): CompleteResponse => {
	const names: string[] = [];
	for (const model of intent.models.values()) {
		if (hasAccess(model, team)) {
			names.push(model.name, ...model.versions.map(version => `${model.name}@${version}`));
		}
	}

	for (const adapter of intent.adapters.values()) {
		if (hasAccess(adapter, team)) {
			names.push(`${adapter.model}:${adapter.name}`);
		}
	}

	const data = names.map(id => ({id, object: 'model', owned_by: team}));
	return {status: 200, contentType: 'application/json', body: Buffer.from(JSON.stringify({object: 'list', data}))};
};
