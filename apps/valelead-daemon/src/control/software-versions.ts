import type {TimerService} from '@valelead/common';
import {type Upstream, UPSTREAM_STATE} from '@valelead/discovery';
import {type VersionChange, getSoleVersion} from '@valelead/stream-origin';
import type {Logger} from 'pino';
import {RetainedRegister} from './retained-register.js';
import type {VersionLog} from './version-log.js';

type VersionsParts = {
	readonly voter: VersionLog;
	/** Returns all upstreams that have announced themselves to this leader. */
	readonly getUpstreams: () => Iterable<Upstream>;
	readonly timers: TimerService;
	readonly logger: Logger;
};

/**
 * Registers the software versions of upstreams in the replicated log. An upstream is made known to gateways only after its version has been committed, so
 * no stream can have begun at a version that is missing in the register, whatever processes were lost since. Runs on the leader.
 */
export class SoftwareVersions {
	readonly #parts: VersionsParts;
	readonly #register: RetainedRegister;

	constructor(parts: VersionsParts) {
		this.#parts = parts;
		this.#register = new RetainedRegister({
			...parts,
			getRegister: () => parts.voter.machine.versions,
			getPresent: () => [...parts.getUpstreams()]
				.filter(({state}) => state !== UPSTREAM_STATE.Gone)
				.map(({service, softwareVersion}) => ({name: service, value: softwareVersion})),
			change: async (kind, {name, value}) => this.#change({kind, service: name, softwareVersion: value}),
		});
	}

	start(): void {
		this.#register.start();
	}

	/** Resolves once the version of an upstream is in the register. */
	async register({service, softwareVersion}: Pick<VersionChange, 'service' | 'softwareVersion'>): Promise<void> {
		await this.#register.add({name: service, value: softwareVersion});
	}

	/** Returns the version at which every stream of a service began, empty if there are several or an unknown one; undefined if this voter cannot tell. */
	getSole(service: string): string | undefined {
		const {node, machine} = this.#parts.voter;
		return node?.canRead ? getSoleVersion(machine.versions, service) ?? '' : undefined;
	}

	async #change(change: VersionChange): Promise<void> {
		await this.#parts.voter.changeVersions(change);
		this.#parts.logger.info({event: 'software-versions', ...change}, 'software versions of a service changed');
	}
}
