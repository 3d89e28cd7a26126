import type {OriginEntry} from './origin-entry.js';
import type {OriginRegister} from './origin-register.js';

/** Adds an entry, or removes it. */
export const mutateOriginRegister = (register: OriginRegister, kind: 'add' | 'remove', {name, value}: OriginEntry): void => {
	const values = new Set(register.get(name));
	if (kind === 'add') {
		values.add(value);
	} else {
		values.delete(value);
	}

	if (values.size > 0) {
		register.set(name, values);
	} else {
		register.delete(name);
	}
};
