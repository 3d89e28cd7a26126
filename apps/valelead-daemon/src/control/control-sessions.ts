import {create} from '@bufbuild/protobuf';
import {type TimerService, Coalescer, SYSTEM_CLOCK} from '@valelead/common';
import {encodeIntent} from '@valelead/intent';
import {
	type AgentReport, type SessionReport, type SessionUpdate, SessionUpdateSchema,
} from '@valelead/protocol';
import type {ServerDuplexStream} from '@grpc/grpc-js';
import {type VmReport, isRegistered} from '@valelead/membership';
import {EndpointTable} from './endpoint-table.js';
import {newOrders} from './new-orders.js';
import type {FollowerSessions} from './follower-sessions.js';
import type {Leader} from './leader.js';
import type {LeaderWatch} from './leader-watch.js';
import type {Voter} from './voter.js';

type SessionStream = ServerDuplexStream<SessionReport, SessionUpdate>;

/** One process that follows this voter. */
type Session = {
	readonly stream: SessionStream;
	vm: string;
	isAgent: boolean;
	/** The sender's time in its last report. */
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
	readonly followers: FollowerSessions | undefined;
};

/** The longest time that a change of the endpoints waits for others, in milliseconds. */
const COALESCE_MS = 5;

const REFRESH_MS = 200;

/** Sessions with entries and agents: takes their heartbeats and sends them what changed. */
export class ControlSessions {
	readonly #voter: Voter;
	readonly #leader: Leader;
	readonly #watch: LeaderWatch;
	readonly #timers: TimerService;
	readonly #followers: FollowerSessions | undefined;
	readonly #sessions = new Set<Session>();
	readonly #endpoints = new EndpointTable();
	readonly #pushes: Coalescer;

	constructor({voter, leader, watch, timers, followers}: SessionsParts) {
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

	accept(stream: SessionStream): void {
		const session: Session = {
			stream, vm: '', isAgent: false, sentAt: 0, revision: -1, endpointVersion: 0, report: undefined,
		};
		this.#sessions.add(session);
		stream.on('data', (report: SessionReport) => {
			this.#takeReport(session, report);
		});
		const end = (): void => {
			this.#sessions.delete(session);
			stream.end();
		};

		stream.on('end', end);
		stream.on('error', end);
		stream.on('cancelled', end);
	}

	/** Ends all sessions, so that their processes look for another leader. */
	close(): void {
		for (const session of this.#sessions) {
			session.stream.end();
		}

		this.#sessions.clear();
	}

	#takeReport(session: Session, {report}: SessionReport): void {
		if (report.case === 'follower' && this.#followers) {
			this.#sessions.delete(session);
			this.#followers.take(session.stream, report.value);
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
			this.#takeAgentReport(session, report.value);
			return;
		}

		session.revision = report.value.revision;
		this.#leader.handleEntryReport(report.value, SYSTEM_CLOCK.now());
		this.#sendTo(session);
	}

	#takeAgentReport(session: Session, report: AgentReport): void {
		session.report = report;
		const isHolder = this.#leader.handleVmReport(report, SYSTEM_CLOCK.now());
		if (!isHolder) {
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
			if (session.vm !== '' && this.#hasNews(session)) {
				this.#sendTo(session);
			}
		}
	}

	#hasNews(session: Session): boolean {
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

	/** Orders go only to the agent that the log has registered for the VM. */
	#sendOrders(session: Session): void {
		const {intent} = this.#voter.machine;
		const isHolder = session.report !== undefined && isRegistered(intent, session.report);
		session.stream.write(create(SessionUpdateSchema, {
			sentAt: session.sentAt,
			isCurrent: isHolder,
			leaderAddress: this.#voter.leaderAddress,
			revision: intent.revision,
			...(isHolder && {orders: newOrders(intent, session.vm)}),
		}));
		session.revision = intent.revision;
	}
}
