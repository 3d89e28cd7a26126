import type {TimerService} from '@valelead/common';
import {type Upstream, UPSTREAM_STATE} from '@valelead/discovery';
import {type VersionChange, VERSION_RETENTION_MS, getSoleVersion} from '@valelead/stream-origin';
import type {Logger} from 'pino';
import type {VersionLog} from './version-log.js';

type VersionsParts = {
	readonly voter: VersionLog;
	/** Returns all upstreams that have announced themselves to this leader. */
	readonly getUpstreams: () => Iterable<Upstream>;
	readonly timers: TimerService;
	readonly logger: Logger;
};

type SoftwareVersion = Pick<VersionChange, 'service' | 'softwareVersion'>;

/** Interval at which versions without upstreams are looked for, in milliseconds. */
const CHECK_MS = 1000;

const getKey = ({service, softwareVersion}: SoftwareVersion): string => `${service}\n${softwareVersion}`;

/**
 * Registers the software versions of upstreams in the replicated log. An upstream is made known to gateways only after its version has been committed, so
 * no stream can have begun at a version that is missing in the register, whatever processes were lost since. Runs on the leader.
 */
export class SoftwareVersions {
	readonly #parts: VersionsParts;
	#term = -1;
	/** Since when this leader has known no upstream of a version, in monotonic milliseconds, by version. */
	readonly #absentSince = new Map<string, number>();
	/** Versions whose removal has been proposed in this term. A version of these that is needed again has to be added after its removal. */
	readonly #removing = new Set<string>();

	constructor(parts: VersionsParts) {
		this.#parts = parts;
	}

	start(): void {
		this.#parts.timers.repeat(CHECK_MS, now => {
			this.#removeAbsent(now);
		});
	}

	/** Resolves once the version of an upstream is in the register. */
	async register({service, softwareVersion}: SoftwareVersion): Promise<void> {
		this.#checkTerm();
		const key = getKey({service, softwareVersion});
		this.#absentSince.delete(key);
		const {voter} = this.#parts;
		const isRegistered = voter.node?.canRead === true && voter.machine.versions.get(service)?.has(softwareVersion) === true;
		if (!isRegistered || this.#removing.has(key)) {
			await this.#change({kind: 'add', service, softwareVersion});
			this.#removing.delete(key);
		}
	}

	/** Returns the version at which every stream of a service began, empty if there are several or an unknown one; undefined if this voter cannot tell. */
	getSole(service: string): string | undefined {
		const {node, machine} = this.#parts.voter;
		return node?.canRead ? getSoleVersion(machine.versions, service) ?? '' : undefined;
	}

	#removeAbsent(now: number): void {
		this.#checkTerm();
		const {voter, getUpstreams} = this.#parts;
		if (!voter.node?.canRead) {
			return;
		}

		const present = new Set([...getUpstreams()].filter(({state}) => state !== UPSTREAM_STATE.Gone).map(upstream => getKey(upstream)));
		for (const [service, versions] of voter.machine.versions) {
			for (const softwareVersion of versions) {
				this.#check({service, softwareVersion}, present, now);
			}
		}
	}

	#check(version: SoftwareVersion, present: ReadonlySet<string>, now: number): void {
		const key = getKey(version);
		if (present.has(key) || this.#removing.has(key)) {
			this.#absentSince.delete(key);
			return;
		}

		const since = this.#absentSince.get(key) ?? now;
		this.#absentSince.set(key, since);
		if (now - since > VERSION_RETENTION_MS) {
			this.#removing.add(key);
			void this.#remove(version);
		}
	}

	async #remove(version: SoftwareVersion): Promise<void> {
		try {
			await this.#change({kind: 'remove', ...version});
		} catch (error) {
			this.#parts.logger.warn({event: 'decision-lost', reason: (error as Error).message}, 'removal of a software version not committed');
		}
	}

	async #change(change: VersionChange): Promise<void> {
		await this.#parts.voter.changeVersions(change);
		this.#parts.logger.info({event: 'software-versions', ...change}, 'software versions of a service changed');
	}

	#checkTerm(): void {
		const term = this.#parts.voter.node?.term ?? 0;
		if (term !== this.#term) {
			this.#term = term;
			this.#absentSince.clear();
			this.#removing.clear();
		}
	}
}
