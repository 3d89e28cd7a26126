import type {OriginRegister} from './origin-register.js';

/** Returns the version at which every stream of a service began; undefined if there are several versions, none, or an unknown one. */
export const getSoleVersion = (register: OriginRegister, service: string): string | undefined => {
	const [version, ...others] = register.get(service) ?? [];
	return others.length === 0 && version !== '' ? version : undefined;
};
