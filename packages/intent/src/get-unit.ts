import {getAdapterKey} from './get-adapter-key.js';
import type {Intent} from './intent.js';
import type {Unit} from './unit.js';

const KEY_PATTERN = /^(?<model>[^@:]+)@(?<version>[^@:]+)(?::(?<adapter>[^@:]+))?$/v;

/** Returns the unit with a key such as `model@version` or `model@version:adapter`, or undefined if no such unit is declared. */
export const getUnit = (intent: Intent, key: string): Unit | undefined => {
	const groups = KEY_PATTERN.exec(key)?.groups;
	const model = intent.models.get(groups?.model ?? '');
	const version = groups?.version ?? '';
	if (!model?.versions.includes(version)) {
		return undefined;
	}

	const shared = {
		key, model: model.name, version, class: model.class, isStopped: model.isStopped,
	};
	const adapterName = groups?.adapter;
	if (adapterName === undefined) {
		return {
			...shared, owner: model.name, adapter: '', base: '', memoryBytes: model.memoryBytes, maxReplicas: model.maxReplicas, minReplicas: model.minReplicas, teams: model.teams,
		};
	}

	const adapterKey = getAdapterKey(model.name, adapterName);
	const adapter = intent.adapters.get(adapterKey);
	return adapter && {
		...shared, owner: adapterKey, adapter: adapterName, base: `${model.name}@${version}`, memoryBytes: adapter.memoryBytes, maxReplicas: adapter.maxReplicas, minReplicas: 0, teams: adapter.teams,
	};
};
