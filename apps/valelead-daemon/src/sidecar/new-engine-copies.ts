import {type Upstream, UPSTREAM_STATE} from '@valelead/discovery';
import type {EngineCopies} from '@valelead/residency';

/** What the engines of a service that take work hold or keep copies of. */
export const newEngineCopies = (upstreams: readonly Upstream[], service: string): EngineCopies[] => upstreams
	.filter(upstream => upstream.service === service && upstream.state === UPSTREAM_STATE.Ready)
	.map(({id, models, copiesInMemory, copiesOnDisk}) => ({
		upstreamId: id,
		loaded: new Set(models.map(model => model.name)),
		models: new Set([...models.map(model => model.name), ...copiesInMemory, ...copiesOnDisk]),
	}));
