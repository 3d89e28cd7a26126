import type {VersionChange} from './version-change.js';
import type {VersionRegister} from './version-register.js';

/** Adds a software version of a service, or removes it. */
export const mutateVersionRegister = (register: VersionRegister, {kind, service, softwareVersion}: VersionChange): void => {
	const versions = new Set(register.get(service));
	if (kind === 'add') {
		versions.add(softwareVersion);
	} else {
		versions.delete(softwareVersion);
	}

	register.set(service, versions);
};
