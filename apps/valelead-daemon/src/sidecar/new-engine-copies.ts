import {type Upstream, UPSTREAM_STATE} from '@valelead/discovery';
import type {EngineCopies} from '@valelead/residency';

/** Lists, for each ready engine of a service, the models that it has loaded and those of which it has copies. */
export const newEngineCopies = (upstreams: readonly Upstream[], service: string): EngineCopies[] => upstreams
	.filter(upstream => upstream.service === service && upstream.state === UPSTREAM_STATE.Ready)
	.map(({id, models, copiesInMemory, copiesOnDisk}) => ({
		upstreamId: id,
		loaded: new Set(models.map(model => model.name)),
		models: new Set([...models.map(model => model.name), ...copiesInMemory, ...copiesOnDisk]),
	}));
