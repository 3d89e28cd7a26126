import {create} from '@bufbuild/protobuf';
import {type TimerService, Coalescer, SYSTEM_CLOCK} from '@valelead/common';
import {encodeIntent} from '@valelead/intent';
import {
	type AgentReport, type SessionReport, type SessionUpdate, SessionUpdateSchema,
} from '@valelead/protocol';
import type {ServerDuplexStream} from '@grpc/grpc-js';
import type {Logger} from 'pino';
import {type VmReport, isRegistered} from '@valelead/membership';
import {EndpointTable} from './endpoint-table.js';
import {newOrders} from './new-orders.js';
import type {FollowerSessions} from './follower-sessions.js';
import type {Leader} from './leader.js';
import type {LeaderWatch} from './leader-watch.js';
import type {Voter} from './voter.js';

type SessionStream = ServerDuplexStream<SessionReport, SessionUpdate>;

/** The session of one entry or agent. */
type Session = {
	readonly stream: SessionStream;
	vm: string;
	isAgent: boolean;
	/** The sender's own monotonic time at its last report. */
	sentAt: number;
	revision: number;
	endpointVersion: number;
	report: VmReport | undefined;
};

type SessionsParts = {
	readonly voter: Voter;
	readonly leader: Leader;
	readonly watch: LeaderWatch;
	readonly timers: TimerService;
	readonly followers: Pick<FollowerSessions, 'handleReport'> | undefined;
	readonly logger: Logger;
};

/** Maximum time for which a change is delayed so that later changes are sent together with it, in milliseconds. */
const COALESCE_MS = 5;

/** Interval at which the endpoint table is refreshed and sent to the entries, in milliseconds. */
const REFRESH_MS = 200;

/** Manages the sessions with entries and agents: processes their heartbeats and sends them changes. */
export class ControlSessions {
	readonly #voter: Voter;
	readonly #leader: Leader;
	readonly #watch: LeaderWatch;
	readonly #timers: TimerService;
	readonly #followers: SessionsParts['followers'];
	readonly #logger: Logger;
	readonly #sessions = new Set<Session>();
	readonly #endpoints = new EndpointTable();
	readonly #pushes: Coalescer;

	constructor({
		voter, leader, watch, timers, followers, logger,
	}: SessionsParts) {
		this.#logger = logger;
		this.#followers = followers;
		this.#voter = voter;
		this.#leader = leader;
		this.#watch = watch;
		this.#timers = timers;
		this.#pushes = new Coalescer(timers, COALESCE_MS, () => {
			this.#push();
		});
	}

	start(): void {
		this.#voter.machine.subscribe(() => {
			this.#pushes.schedule();
		});
		this.#timers.repeat(REFRESH_MS, () => {
			this.#push();
		});
	}

	get count(): number {
		return this.#sessions.size;
	}

	/** Opens a session on a stream. Once the first report shows that a gateway or sidecar opened it, FollowerSessions takes it over. */
	accept(stream: SessionStream): void {
		const session: Session = {
			stream, vm: '', isAgent: false, sentAt: 0, revision: -1, endpointVersion: 0, report: undefined,
		};
		this.#sessions.add(session);
		stream.on('data', (report: SessionReport) => {
			this.#receive(session, report);
		});
		const end = (): void => {
			this.#sessions.delete(session);
			stream.end();
		};

		stream.on('end', end);
		stream.on('error', end);
		stream.on('cancelled', end);
	}

	/** Ends all sessions, so that the connected processes look for another leader. */
	close(): void {
		for (const session of this.#sessions) {
			session.stream.end();
		}

		this.#sessions.clear();
	}

	/** Handles a report. An error ends the session of the sender only, which then looks for a leader again. */
	#receive(session: Session, report: SessionReport): void {
		try {
			this.#handleReport(session, report);
		} catch (error) {
			const {message, stack} = error as Error;
			this.#logger.error({
				event: 'report-unusable', vm: report.report.value?.vm, reason: message, stack,
			}, 'a report cannot be handled; its session is ended');
			session.stream.emit('error', new Error('the report cannot be handled'));
		}
	}

	#handleReport(session: Session, {report}: SessionReport): void {
		if (report.case === 'follower' && this.#followers) {
			this.#sessions.delete(session);
			this.#followers.handleReport(session.stream, report.value);
			return;
		}

		if (!report.case || report.case === 'follower' || !this.#voter.node?.isCurrentLeader) {
			session.stream.write(create(SessionUpdateSchema, {isCurrent: false, leaderAddress: this.#voter.leaderAddress, isOutside: this.#watch.isOutside}));
			return;
		}

		session.sentAt = report.value.sentAt;
		session.vm = report.value.vm;
		session.isAgent = report.case === 'agent';
		if (report.case === 'agent') {
			this.#handleAgentReport(session, report.value);
			return;
		}

		session.revision = report.value.revision;
		this.#leader.handleEntryReport(report.value, SYSTEM_CLOCK.now());
		this.#sendTo(session);
	}

	#handleAgentReport(session: Session, report: AgentReport): void {
		session.report = report;
		const isRegisteredAgent = this.#leader.handleVmReport(report, SYSTEM_CLOCK.now());
		if (!isRegisteredAgent) {
			session.stream.end();
			return;
		}

		this.#sendTo(session);
		this.#pushes.schedule();
	}

	#push(): void {
		if (!this.#voter.node?.isCurrentLeader) {
			return;
		}

		this.#endpoints.refresh(this.#voter.machine.intent, this.#leader.fleet, this.#leader.membership, SYSTEM_CLOCK.now());
		for (const session of this.#sessions) {
			if (session.vm !== '' && this.#hasChanges(session)) {
				this.#sendTo(session);
			}
		}
	}

	#hasChanges(session: Session): boolean {
		return session.revision !== this.#voter.machine.intent.revision || (!session.isAgent && session.endpointVersion < this.#endpoints.version);
	}

	#sendTo(session: Session): void {
		if (session.isAgent) {
			this.#sendOrders(session);
			return;
		}

		const {machine} = this.#voter;
		const proposals = machine.getProposalsSince(session.revision);
		session.stream.write(create(SessionUpdateSchema, {
			sentAt: session.sentAt,
			isCurrent: true,
			revision: machine.intent.revision,
			snapshot: proposals ? '' : encodeIntent(machine.intent),
			commands: (proposals ?? []).map(({revision, at, proposal}) => ({revision, appliedAt: at, command: JSON.stringify(proposal)})),
			endpoints: this.#endpoints.getSince(session.endpointVersion),
			entryCount: this.#leader.fleet.entries.size,
		}));
		session.revision = machine.intent.revision;
		session.endpointVersion = this.#endpoints.version;
	}

	/** Sends orders to an agent, but only if the committed state has this agent registered for the VM. */
	#sendOrders(session: Session): void {
		const {intent} = this.#voter.machine;
		const isRegisteredAgent = session.report !== undefined && isRegistered(intent, session.report);
		session.stream.write(create(SessionUpdateSchema, {
			sentAt: session.sentAt,
			isCurrent: isRegisteredAgent,
			leaderAddress: this.#voter.leaderAddress,
			revision: intent.revision,
			...(isRegisteredAgent && {orders: newOrders(intent, session.vm)}),
		}));
		session.revision = intent.revision;
	}
}
