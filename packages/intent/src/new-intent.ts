import {newRequestClass} from './new-request-class.js';
import type {Intent} from './intent.js';

/** Returns the configuration of a new installation. It contains only the request class `default`. */
export const newIntent = (): Intent => ({
	revision: 0,
	teams: new Map(),
	classes: new Map([['default', newRequestClass('default')]]),
	models: new Map(),
	adapters: new Map(),
	services: new Map(),
	operators: new Map(),
	vms: new Map(),
	quarantines: new Map(),
	drainedDataCentres: new Map(),
	grants: new Map(),
	grantsByVm: new Map(),
	grantsByOwner: new Map(),
	results: new Map(),
});
