import {Buffer} from 'node:buffer';
import {create} from '@bufbuild/protobuf';
import {type Clock, OUTCOME, RESULT_CODE} from '@valelead/common';
import {newDirectory} from '@valelead/discovery';
import {type SessionUpdate, FollowerReportSchema} from '@valelead/protocol';
import {SUSPECT_PHASE} from '@valelead/quarantine';
import {pino} from 'pino';
import {newUpstream} from '../../../tests/support/new-upstream.js';
import {NO_LIMITS} from '../../../tests/support/no-limits.js';
import {NO_QUOTAS} from '../../../tests/support/no-quotas.js';
import {NO_SHARES} from '../../../tests/support/no-shares.js';
import {NO_ROLLOUT} from '../../../tests/support/no-rollout.js';
import {newProcessTimers} from '../../../tests/support/new-process-timers.js';
import {VirtualProcess} from '../../../tests/support/virtual-process.js';
import {VirtualTime} from '../../../tests/support/virtual-time.js';
import {SimulatedLink} from './simulated-link.js';
import {SimulatedVoters} from './simulated-voters.js';
import {
	type GatewayRequest, CONNECTION_STATE, CrashGuard, FollowerSessions, GatewayLeases, QuarantineRegistry, StallWatch, encodeCrash,
} from 'valelead-daemon';

type Gateway = {
	readonly vm: string;
	readonly process: VirtualProcess;
	readonly guard: CrashGuard;
	isPartitioned: boolean;
	/** Number of the current session. Callbacks of earlier sessions compare it with their own number and do nothing. */
	session: number;
	voter: number;
	leaderHeardAt: number;
	send: (isFirst: boolean) => void;
};

type GetDelayMs = () => number;

const GATEWAYS = 3;
const HEARTBEAT_MS = 500;
const LEADER_SILENCE_MS = 950;

/** Time within which a gateway collects new crashes before it sends one report of them, in milliseconds. */
const COALESCE_MS = 3;

/** Time after which a gateway reports again to a voter that knows no leader, in milliseconds. */
const LEADER_RETRY_MS = 150;

/** Interval at which engines announce themselves, which makes the leader send directory updates to gateways, in milliseconds. */
const ANNOUNCE_MS = 200;

const RETRY_DELAY_MS = 120;
const BEGIN_MS = 40;
const CRASH_MS = 60;

/**
 * Subtracted from the time of a report, in milliseconds, so that a crash recorded right after the report has a later time. A real clock advances
 * between the two; the virtual clock does not.
 */
const CLOCK_RESOLUTION_MS = 0.001;

/** Time from a crash until the engine listens again, and until gateways learn of its next run, in milliseconds. */
const RESTART_MS = 900;
const REPLACED_MS = 1300;

const SUSPECT = 'a5'.repeat(16);
const SEGMENT = '5e'.repeat(16);
const NO_SUSPENSION = {resumedAt: Number.NEGATIVE_INFINITY, lostMs: 0};
const ignore = (): void => undefined;

/**
 * Simulates an installation on virtual time: gateways with the production crash guard, voters with the production quarantine registry and rollout, and
 * a caller that keeps sending one request that crashes engines.
 */
export class CrashSimulation {
	readonly time = new VirtualTime();
	readonly clock: Clock = {now: () => this.time.now, wallNow: () => this.time.now};
	readonly voters = new SimulatedVoters(this.time);
	readonly gateways: Gateway[] = [];
	/** Number of engines that the request has crashed. */
	crashes = 0;
	/** Times of these crashes, and of all attempts that were sent to engines, in virtual milliseconds. */
	readonly crashTimes: number[] = [];
	readonly sendTimes: number[] = [];
	/** Number of attempts that a gateway refused. */
	refusals = 0;
	/** True if the caller sends a new request each time, and only a segment of the prompts is the same. */
	isSegmentGuilty = false;
	readonly #sessions: FollowerSessions[];
	/** Time at which the engine at an address listens again. */
	readonly #restartedAt = new Map<string, number>();
	readonly #getDelayMs: GetDelayMs;
	#nextEngine = 1;
	#nextRequest = 1;

	/** @param getDelayMs - Returns the delay of the next message, in milliseconds. */
	constructor(getDelayMs: GetDelayMs) {
		this.#getDelayMs = getDelayMs;
		this.#sessions = this.voters.voters.map((_, index) => this.#startVoter(index));
		for (let index = 0; index < GATEWAYS; index += 1) {
			this.gateways.push(this.#startGateway(`gateway-${index}`));
		}
	}

	/** Sends the request to a gateway. After each response the caller sends it to the next gateway. */
	sendRequest(index: number): void {
		const gateway = this.gateways[index % GATEWAYS];
		const retry = (): void => {
			this.time.after(RETRY_DELAY_MS, () => {
				this.sendRequest(index + 1);
			});
		};

		gateway.process.take(() => {
			this.#handleRequest(gateway, retry);
		});
	}

	#handleRequest(gateway: Gateway, answer: () => void): void {
		const {guard, process} = gateway;
		const request = this.#newRequest();
		if (guard.getRefusal(request)) {
			this.refusals += 1;
			answer();
			return;
		}

		this.sendTimes.push(this.time.now);
		const engine = this.#nextEngine;
		this.#nextEngine += 1;
		const upstream = newUpstream(`run-${engine}`, {address: `10.0.0.${engine}:80`});
		this.time.after(BEGIN_MS + CRASH_MS, () => {
			this.crashes += 1;
			this.crashTimes.push(this.time.now);
			this.#announceReplaced(upstream);
			process.take(() => {
				guard.noteEnd(request, upstream, {
					code: RESULT_CODE.AnswerCut, outcome: OUTCOME.Unknown, reason: 'reset', connection: CONNECTION_STATE.Broken, phase: SUSPECT_PHASE.Begun,
				}, isLast => {
					if (isLast) {
						answer();
					} else {
						this.#handleRequest(gateway, answer);
					}
				});
			});
		});
	}

	#newRequest(): GatewayRequest {
		this.#nextRequest += 1;
		const fingerprint = this.isSegmentGuilty ? this.#nextRequest.toString(16).padStart(SUSPECT.length, '0') : SUSPECT;
		return {head: {id: 'try', sharedSegments: []}, fingerprint, segments: this.isSegmentGuilty ? [SEGMENT] : []} as unknown as GatewayRequest;
	}

	#announceReplaced({id, address}: ReturnType<typeof newUpstream>): void {
		this.#restartedAt.set(address, this.time.now + RESTART_MS);
		this.time.after(REPLACED_MS, () => {
			for (const {guard, process, isPartitioned} of this.gateways) {
				if (!isPartitioned) {
					process.take(() => {
						guard.setUpstreams([newUpstream(`${id}-again`, {address})]);
					});
				}
			}
		});
	}

	#startVoter(index: number): FollowerSessions {
		const {process} = this.voters.voters[index];
		const {clock} = this;
		const timers = newProcessTimers(this.time, process);
		const log = this.voters.getLog(index);
		const gatewayLeases = new GatewayLeases({clock, getTerm: () => log.node!.term, getCommittedCount: () => 0});
		const quarantine = new QuarantineRegistry({
			voter: log,
			clock,
			timers,
			logger: pino({level: 'silent'}),
			getPauseThreshold: () => gatewayLeases.pauseThreshold,
			onChange: () => {
				this.#sessions?.[index].schedulePush();
			},
		});
		const {voters} = this;
		const node = {
			get isCurrentLeader() {
				return voters.isLeading(index);
			},
			canRead: true,
			hasRecoveredState: true,
			voters: [],
		};
		const voter = {
			node,
			machine: {...log.machine, routing: undefined},
			get leaderAddress() {
				return voters.isLeading(voters.leader) ? String(voters.leader) : '';
			},
		};
		const leases = {note: ignore, getGrants: () => [], getSidecarDelayMs: () => 0};
		const sessions = new FollowerSessions({
			voter: voter as never,
			registry: {
				// Each term starts with a new directory.
				get epoch() {
					return String(log.node!.term);
				},
				directory: newDirectory(),
			},
			leases: leases as never,
			quarantine,
			gatewayLeases,
			quotas: NO_QUOTAS,
			limits: NO_LIMITS,
			shares: NO_SHARES,
			watch: {isOutside: false},
			rollout: NO_ROLLOUT,
			timers,
			clock,
		});
		quarantine.start();
		sessions.start();
		timers.repeat(ANNOUNCE_MS, () => {
			sessions.schedulePush();
		});
		return sessions;
	}

	#startGateway(vm: string): Gateway {
		const process = new VirtualProcess(this.time);
		const {clock} = this;
		const timers = newProcessTimers(this.time, process);
		let gatewayCount = 1;
		const guard = new CrashGuard({
			clock,
			timers,
			logger: pino({level: 'silent'}),
			stalls: new StallWatch(clock, timers),
			suspensions: NO_SUSPENSION,
			getGatewayCount: () => gatewayCount,
			getLeaderAgeMs: () => this.time.now - gateway.leaderHeardAt,
			isPortRefused: async address => this.time.now < (this.#restartedAt.get(address) ?? 0),
			onCrash: ignore,
			onCrashReportDue() {
				timers.after(COALESCE_MS, () => {
					gateway.send(false);
				});
			},
			onQuarantined: ignore,
		});
		const gateway: Gateway = {
			vm, process, guard, isPartitioned: false, session: 0, voter: this.voters.leader, leaderHeardAt: Number.NEGATIVE_INFINITY, send: ignore,
		};
		let connectedAt = this.time.now;
		const handleUpdate = (update: SessionUpdate): void => {
			if (update.quarantine) {
				guard.exchange.applyQuarantine(update.quarantine, update.isCurrent);
			}

			if (update.isCurrent) {
				gateway.leaderHeardAt = this.time.now;
				gatewayCount = Math.max(gatewayCount, update.gatewayCount);
				guard.exchange.noteReported(update.sentAt, update.isCrashLeaseGranted);
				guard.exchange.noteReachableGatewaysApplied(update.crashesKnownUntil);
				guard.exchange.noteAllGatewaysApplied(update.crashesObeyedUntil);
				if (update.isReportWanted) {
					gateway.send(false);
				}
			} else if (update.leaderAddress === '') {
				// The session continues if that voter becomes the leader.
				connectedAt = this.time.now;
				const {session} = gateway;
				timers.after(LEADER_RETRY_MS, () => {
					if (gateway.session === session) {
						gateway.send(false);
					}
				});
			} else {
				this.#connect(gateway, Number(update.leaderAddress), () => gatewayCount, handleUpdate);
			}
		};

		timers.repeat(HEARTBEAT_MS, now => {
			if (now - Math.max(gateway.leaderHeardAt, connectedAt) > LEADER_SILENCE_MS) {
				connectedAt = now;
				this.#connect(gateway, gateway.voter + 1, () => gatewayCount, handleUpdate);
			} else {
				gateway.send(false);
			}
		});
		this.#connect(gateway, gateway.voter, () => gatewayCount, handleUpdate);
		return gateway;
	}

	/** Starts a session with a voter. While the gateway is partitioned, the voter does not notice the end of the previous session. */
	#connect(gateway: Gateway, voter: number, getGatewayCount: () => number, take: (update: SessionUpdate) => void): void {
		gateway.voter = voter % this.voters.voters.length;
		gateway.session += 1;
		const {session} = gateway;
		const target = this.voters.voters[gateway.voter].process;
		let isLost = false;
		const isOpen = (): boolean => {
			isLost ||= gateway.isPartitioned;
			return gateway.session === session && !isLost;
		};

		const toVoter = new SimulatedLink(this.time, target, this.#getDelayMs);
		const toGateway = new SimulatedLink(this.time, gateway.process, this.#getDelayMs);
		const endListeners: Array<() => void> = [];
		const stream = {
			on(_event: string, listener: () => void) {
				endListeners.push(listener);
			},
			write(update: SessionUpdate) {
				toGateway.send(() => {
					if (isOpen()) {
						take(update);
					}
				});
				return true;
			},
		};
		gateway.send = isFirst => {
			const {crashes, served, quarantineVersion} = gateway.guard.exchange.getReport(isFirst);
			const report = create(FollowerReportSchema, {
				vm: gateway.vm,
				role: 'gateway',
				sentAt: this.time.now - CLOCK_RESOLUTION_MS,
				crashes: crashes.map(crash => encodeCrash(crash)),
				served: served.map(fingerprint => Uint8Array.from(Buffer.from(fingerprint, 'hex'))),
				quarantineVersion,
				gatewayCount: getGatewayCount(),
			});
			toVoter.send(() => {
				if (isOpen()) {
					this.#sessions[this.voters.voters.findIndex(({process}) => process === target)].handleReport(stream as never, report);
				} else if (!gateway.isPartitioned) {
					for (const end of endListeners) {
						end();
					}
				}
			});
		};

		gateway.send(true);
	}
}
