import {assertNever} from '@valelead/common';
import type * as fc from 'fast-check';
import type {QuotaModel} from './quota-model.js';
import type {RATE_MODEL_STEP} from './rate-model-step.js';

type Step = typeof RATE_MODEL_STEP extends fc.Arbitrary<infer Value> ? Value : never;

const applyStep = (model: QuotaModel, step: Step): void => {
	switch (step.kind) {
		case 'pass': {
			model.advance(step.ms);
			break;
		}

		case 'ask': {
			for (const cost of step.costs) {
				model.recordDemand(step.index, cost);
			}

			const missing = step.costs.filter(cost => !model.serve(step.index, cost));
			model.exchange(step.index, missing);
			for (const cost of missing) {
				model.serve(step.index, cost);
			}

			break;
		}

		case 'spend': {
			for (const cost of step.costs) {
				model.serve(step.index, cost);
			}

			break;
		}

		case 'report': {
			model.report(step.index, step.costs);
			break;
		}

		case 'deliver': {
			model.deliver(step.index);
			break;
		}

		case 'run': {
			model.settle(step.index, true);
			break;
		}

		case 'release': {
			model.settle(step.index, false);
			break;
		}

		case 'reconnect': {
			model.reconnect(step.index);
			break;
		}

		case 'restart': {
			model.restart(step.index);
			break;
		}

		case 'suspend': {
			model.suspend(step.index, step.ms);
			break;
		}

		case 'lead': {
			model.changeLeader();
			break;
		}

		default: {
			assertNever(step);
		}
	}
};

/** Applies a history of requests, lost messages, restarts and new leaders to a model. */
export const replayHistory = (model: QuotaModel, steps: readonly Step[]): void => {
	for (const step of steps) {
		applyStep(model, step);
	}
};
