import {randomUUID} from 'node:crypto';
import {mkdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {
	type TimerService, RESULT_CODE, SYSTEM_CLOCK, SYSTEM_SUSPENSIONS, ValeleadError, assertNever,
} from '@valelead/common';
import {
	type FormationDecision, type StoredLog, type Voter as VoterRecord, ConsensusNode, FileStorage, getFormationDecision, isFormationAllowed,
} from '@valelead/consensus';
import type {Upstream} from '@valelead/discovery';
import type {ChannelPool} from '@valelead/protocol';
import type {RouteChange, VersionChange} from '@valelead/stream-origin';
import type {
	ClaimCommand, ClaimResult, CommandResult, Proposal,
} from '@valelead/intent';
import type {Logger} from 'pino';
import type {StoredRouting} from './stored-routing.js';
import type {VoterOptions} from './voter-options.js';
import {ControlMachine} from './control-machine.js';
import {ControllerPeers} from './controller-peers.js';
import {GrpcTransport} from './grpc-transport.js';
import {VoterMembership} from './voter-membership.js';
import {writeSynced} from './write-synced.js';

type VoterParts = {
	readonly vm: string;
	readonly settings: VoterOptions;
	/** False if a voter with an empty data folder may only join a quorum and not form one. */
	readonly mayForm?: boolean;
	readonly controlAddresses: readonly string[];
	readonly pool: ChannelPool;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly onFailure: (error: ValeleadError) => void;
};

type Identity = {
	readonly id: string;
	readonly vm: string;
	/** Addresses of the controllers in the settings of the installation's first start; missing if the identity was made later or by an earlier build. */
	readonly founders?: readonly string[];
};

/** A change of the replicated state that is carried by an entry without claim commands. */
type LogChange =
	| {readonly versionChange: VersionChange}
	| {readonly routeChange: RouteChange}
	| {readonly gatewayCount: number}
	| {readonly withdrawal: Upstream};

type PendingClaim = {
	readonly command: ClaimCommand;
	readonly resolve: (result: ClaimResult) => void;
	readonly reject: (error: unknown) => void;
};

const FORMATION_POLL_MS = 200;

/**
 * Returns the ids of the members that a voter proposes for a new quorum. A voter that may not form the quorum itself proposes it too, because the other
 * voters wait until all proposals are equal.
 */
const getProposal = (decision: FormationDecision): readonly string[] => {
	switch (decision.kind) {
		case 'wait': {
			return decision.proposal;
		}

		case 'form': {
			return decision.voters.map(({id}) => id);
		}

		case 'join': {
			return [];
		}

		default: {
			return assertNever(decision);
		}
	}
};

/** A member of the control quorum: its identity and log in the data folder, and the replicated state machine. */
export class Voter {
	readonly machine = new ControlMachine();
	readonly #parts: VoterParts;
	readonly #storage: FileStorage;
	readonly #peers: ControllerPeers;
	readonly #membership: VoterMembership;
	#identity: Identity | undefined;
	#node: ConsensusNode | undefined;
	#claims: PendingClaim[] = [];
	#isCommittingClaims = false;
	#isStopped = false;
	#proposal: readonly string[] = [];

	constructor(parts: VoterParts) {
		this.#parts = parts;
		this.#storage = new FileStorage(parts.settings.dataFolder);
		this.#peers = new ControllerPeers({
			vm: parts.vm, ownAddress: parts.settings.listen, addresses: parts.controlAddresses, pool: parts.pool, timers: parts.timers,
		});
		this.#membership = new VoterMembership({
			getNode: () => this.#node,
			getRecord: () => this.record,
			peers: this.#peers,
			faultTolerance: parts.settings.faultTolerance,
			timers: parts.timers,
			logger: parts.logger,
		});
	}

	get node(): ConsensusNode | undefined {
		return this.#node;
	}

	/** This voter as the other members of the quorum know it. */
	get record(): VoterRecord {
		return {
			id: this.#identity?.id ?? '', vm: this.#parts.vm, address: this.#parts.settings.listen, isLearner: false,
		};
	}

	/** True if the settings of the installation's first start named this voter, and it has kept its disk since. */
	get isFounder(): boolean {
		return this.#founders.includes(this.#parts.settings.listen);
	}

	/** Ids of the voters with which this one would form a quorum, while it belongs to none. */
	get proposal(): readonly string[] {
		return this.#proposal;
	}

	/** The address of the leader; empty if this voter knows none. */
	get leaderAddress(): string {
		return this.#node?.leader?.address ?? '';
	}

	/** Replaces the controllers of the settings after these have been reloaded. */
	configure(addresses: readonly string[]): void {
		this.#peers.configure(addresses);
	}

	/** Loads the data folder. If it is empty, creates a new identity and syncs it to the disk before it is sent to any other process. */
	async open(): Promise<void> {
		await mkdir(this.#parts.settings.dataFolder, {recursive: true});
		this.#identity = await this.#loadIdentity();
		const stored = await this.#storage.load();
		if (stored) {
			this.#start(stored);
		} else {
			void this.#form();
		}

		this.#membership.start();
	}

	async stop(): Promise<void> {
		this.#isStopped = true;
		this.#membership.stop();
		await this.#node?.stop();
	}

	/** Commits a proposal and returns its result. */
	async propose(proposal: Proposal): Promise<CommandResult> {
		const index = await this.#propose({kind: 'proposal', at: SYSTEM_CLOCK.wallNow(), proposal});
		return this.machine.takeResult(index) as CommandResult;
	}

	/** Commits a routing configuration; resolves once this or a newer version is in force. */
	async replaceRouting(routing: StoredRouting): Promise<void> {
		await this.#propose({kind: 'routing', at: SYSTEM_CLOCK.wallNow(), ...routing});
	}

	/** Commits a change of the software versions at which streams may have begun. */
	async changeVersions(versionChange: VersionChange): Promise<void> {
		await this.#proposeChange({versionChange});
	}

	/** Commits a change of the services at which streams of a route may have begun. */
	async changeRoutes(routeChange: RouteChange): Promise<void> {
		await this.#proposeChange({routeChange});
	}

	/** Commits the number of gateways that may have a share of the common budgets. */
	async changeGatewayCount(gatewayCount: number): Promise<void> {
		await this.#proposeChange({gatewayCount});
	}

	/** Commits the withdrawal of an upstream's run, which has declared that it is draining or has departed. */
	async withdraw(withdrawal: Upstream): Promise<void> {
		await this.#proposeChange({withdrawal});
	}

	/** Resolves once the quorum tolerates the configured number of failures, or has stopped growing. */
	async waitForVoters(): Promise<void> {
		await this.#membership.waitForVoters();
	}

	/** Commits a claim command. Commands that arrive while a commit is in progress are committed together in the next one. */
	async claim(command: ClaimCommand): Promise<ClaimResult> {
		return new Promise((resolve, reject) => {
			this.#claims.push({command, resolve, reject});
			if (!this.#isCommittingClaims) {
				void this.#commitClaims();
			}
		});
	}

	/** As leader, takes the next step of admitting a voter to the quorum. */
	async admit(voter: VoterRecord): Promise<void> {
		await this.#membership.admit(voter);
	}

	async #commitClaims(): Promise<void> {
		this.#isCommittingClaims = true;
		while (this.#claims.length > 0) {
			const batch = this.#claims;
			this.#claims = [];
			try {
				const commands = batch.map(pending => pending.command);
				const index = await this.#propose({kind: 'claims', at: SYSTEM_CLOCK.wallNow(), commands});
				const results = this.machine.takeResult(index) as readonly ClaimResult[];
				for (const [position, pending] of batch.entries()) {
					pending.resolve(results[position]);
				}
			} catch (error) {
				for (const pending of batch) {
					pending.reject(error);
				}
			}
		}

		this.#isCommittingClaims = false;
	}

	async #proposeChange(change: LogChange): Promise<void> {
		const index = await this.#propose({
			kind: 'claims', at: SYSTEM_CLOCK.wallNow(), commands: [], ...change,
		});
		this.machine.takeResult(index);
	}

	async #propose(record: object): Promise<number> {
		if (!this.#node) {
			throw new ValeleadError('This voter has no quorum yet', {code: RESULT_CODE.NotLeader});
		}

		return this.#node.propose(JSON.stringify(record));
	}

	async #loadIdentity(): Promise<Identity> {
		const file = path.join(this.#parts.settings.dataFolder, 'identity.json');
		try {
			const identity = JSON.parse(await readFile(file, 'utf8')) as Identity;
			if (identity.vm !== this.#parts.vm) {
				throw new ValeleadError(`${file} belongs to VM ${identity.vm}`, {code: RESULT_CODE.WrongIdentity});
			}

			return identity;
		} catch (error) {
			if ((error as {code?: unknown}).code !== 'ENOENT') {
				throw error;
			}
		}

		const {vm, mayForm} = this.#parts;
		// The settings allow to form a quorum at the first start only. If the process ends before the quorum has formed, the identity still allows it.
		const identity: Identity = {id: randomUUID(), vm, ...(mayForm !== false && {founders: this.#peers.configured})};
		await writeSynced(file, JSON.stringify(identity));
		this.#parts.logger.info({event: 'identity-made', voterId: identity.id, mayForm: mayForm !== false}, 'the data folder was empty; the voter starts with a new identity');
		return identity;
	}

	#start(stored: StoredLog): void {
		const {settings, pool, timers, onFailure} = this.#parts;
		this.#node = new ConsensusNode(stored, {
			settings: {heartbeatMs: settings.consensusHeartbeatMs, electionTimeoutMs: settings.electionTimeoutMs},
			clock: SYSTEM_CLOCK,
			suspensions: SYSTEM_SUSPENSIONS,
			onResumed: () => {
				this.#parts.logger.warn({event: 'resumed', term: stored.hardState.term}, 'the process was suspended, or its wall clock was set forward; leases have to be confirmed again');
			},
			// The system's monotonic clock starts at 0 with the process.
			processStartedAt: 0,
			timers,
			storage: this.#storage,
			transport: new GrpcTransport(pool, settings.listen, SYSTEM_CLOCK),
			machine: this.machine,
			onFailure,
			onStorageRetry: error => {
				this.#parts.logger.warn({event: 'storage-retry', code: RESULT_CODE.StorageFailed, reason: error.message}, 'write to the data folder failed; trying again');
			},
			snapshotEvery: settings.snapshotEvery,
			random: Math.random,
		});
		this.#node.start();
		this.#parts.logger.info({event: 'voter-started', voterId: stored.id, term: stored.hardState.term}, 'voter started');
	}

	/** With an empty data folder, forms the first quorum together with all voters, or joins the existing one. */
	async #form(): Promise<void> {
		while (!this.#node && !this.#isStopped) {
			const peers = await this.#peers.findVoters();
			const decision = getFormationDecision(this.record, this.#peers.configured.length, peers);
			const isAllowed = isFormationAllowed(decision, {
				peers,
				isFirstStart: this.#parts.mayForm !== false,
				configured: this.#peers.configured,
				founders: this.#founders,
				address: this.#parts.settings.listen,
			});
			if (decision.kind !== 'wait' && isAllowed) {
				const voters = decision.kind === 'form' ? decision.voters : [];
				const stored: StoredLog = {
					...this.#identity!,
					hardState: {term: 0, votedFor: undefined},
					snapshot: {
						index: 0, term: 0, voters, data: '',
					},
					entries: [],
				};
				await this.#storage.create(stored);
				this.#start(stored);
				return;
			}

			this.#proposal = getProposal(decision);
			await this.#parts.timers.wait(FORMATION_POLL_MS);
		}
	}

	get #founders(): readonly string[] {
		return this.#identity?.founders ?? [];
	}
}
