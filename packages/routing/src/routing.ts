import type {CallerLimits} from './caller-limits.js';
import type {Route} from './route.js';
import type {Service} from './service.js';
import type {Team} from './team.js';

/** A complete routing configuration. The configuration with the highest version is in force. */
export type Routing = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	readonly limits: CallerLimits;
	/** The teams whose API keys requests carry; undefined if callers have no keys. */
	readonly teams: readonly Team[] | undefined;
};
