import type {Intent} from './intent.js';

const NAME_PATTERN = /^(?<model>[^@:]+)(?:@(?<version>[^@:]+))?(?::(?<adapter>[^@:]+))?$/v;

/**
 * Returns the unit key for a public name: `model`, `model:adapter`, `model@version` or `model@version:adapter`. Returns undefined if the model does
 * not exist.
 */
export const getUnitKey = (intent: Intent, name: string): string | undefined => {
	const groups = NAME_PATTERN.exec(name)?.groups;
	const model = intent.models.get(groups?.model ?? '');
	if (!model) {
		return undefined;
	}

	const base = `${model.name}@${groups?.version ?? model.version}`;
	const adapter = groups?.adapter;
	return adapter === undefined ? base : `${base}:${adapter}`;
};
