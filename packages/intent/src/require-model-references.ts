import {RESULT_CODE, ValeleadError} from '@valelead/common';
import {requirePresent} from './require-present.js';
import {requireTeams} from './require-teams.js';
import type {Intent} from './intent.js';
import type {Model} from './model.js';

/** Throws a ValeleadError if the class or a team of a model does not exist, or if its minimum of replicas exceeds its maximum. */
export const requireModelReferences = (intent: Intent, model: Model): void => {
	requirePresent(intent.classes, model.class, 'class');
	requireTeams(intent, model.teams);
	if (model.minReplicas > model.maxReplicas) {
		throw new ValeleadError(`model ${model.name} would have more replicas at least than at most`, {code: RESULT_CODE.InvalidCommand});
	}
};
