import type {Adapter} from './adapter.js';
import type {CommandResult} from './command-result.js';
import type {Grant} from './grant.js';
import type {Model} from './model.js';
import type {Operator} from './operator.js';
import type {Quarantine} from './quarantine.js';
import type {RequestClass} from './request-class.js';
import type {ServiceRoute} from './service-route.js';
import type {Team} from './team.js';
import type {Vm} from './vm.js';

/** The replicated configuration of the installation. Only proposals change it, and records are replaced instead of mutated. */
export type Intent = {
	revision: number;
	readonly teams: Map<string, Team>;
	readonly classes: Map<string, RequestClass>;
	readonly models: Map<string, Model>;
	readonly adapters: Map<string, Adapter>;
	readonly services: Map<string, ServiceRoute>;
	readonly operators: Map<string, Operator>;
	readonly vms: Map<string, Vm>;
	/** Quarantined requests by their fingerprint, in the order of the quarantine decisions. */
	readonly quarantines: Map<string, Quarantine>;
	readonly drainedDataCentres: Map<string, string>;
	readonly grants: Map<string, Grant>;
	readonly grantsByVm: Map<string, readonly string[]>;
	readonly grantsByOwner: Map<string, readonly string[]>;
	/** Results of proposals by their command id, oldest first, to answer resent proposals. */
	readonly results: Map<string, CommandResult>;
};
