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
import {NO_ROLLOUT} from '../../../tests/support/no-rollout.js';
import {newProcessTimers} from '../../../tests/support/new-process-timers.js';
import {VirtualProcess} from '../../../tests/support/virtual-process.js';
import {VirtualTime} from '../../../tests/support/virtual-time.js';
import {SimulatedLink} from './simulated-link.js';
import {SimulatedVoters} from './simulated-voters.js';
import {
	type GatewayRequest, CONNECTION_END, CrashGuard, FollowerSessions, GatewayLeases, QuarantineRegistry, StallWatch, encodeCrash,
} from 'valelead-daemon';

type Gateway = {
	readonly vm: string;
	readonly process: VirtualProcess;
	readonly guard: CrashGuard;
	isCut: boolean;
	/** New with each session, so that what belongs to an earlier one is dropped. */
	session: number;
	voter: number;
	heardAt: number;
	send: (isFirst: boolean) => void;
};

type Delay = () => number;

const GATEWAYS = 3;
const HEARTBEAT_MS = 500;
const SILENT_MS = 950;

/** A gateway's news goes with what else comes within this time, in milliseconds. */
const COALESCE_MS = 3;

/** A voter that names no leader is asked again after this time, in milliseconds. */
const ASK_AGAIN_MS = 150;

/** Engines announce themselves to the leader, which tells gateways of the directory then, in milliseconds. */
const ANNOUNCE_MS = 200;

const TRY_GAP_MS = 120;
const BEGIN_MS = 40;
const CRASH_MS = 60;

/** Real clocks tell a report from a crash that is noted right after it; this one stands still meanwhile. In milliseconds. */
const INSTANT_MS = 0.001;

/** From a crash until the engine listens again, and until its next run is announced to gateways, in milliseconds. */
const RESTART_MS = 900;
const ANNOUNCED_MS = 1300;

const SUSPECT = 'a5'.repeat(16);
const NO_SUSPENSION = {resumedAt: Number.NEGATIVE_INFINITY, lostMs: 0};
const ignore = (): void => undefined;

/** Gateways with the shipped guard, voters with the shipped judgement and its rollout, and a caller that sends one request which crashes engines. */
export class CrashSimulation {
	readonly time = new VirtualTime();
	readonly clock: Clock = {now: () => this.time.now, wallNow: () => this.time.now};
	readonly voters = new SimulatedVoters(this.time);
	readonly gateways: Gateway[] = [];
	/** Engines that crashed under the request. */
	crashes = 0;
	/** Tries that were refused. */
	refusals = 0;
	readonly #sessions: FollowerSessions[];
	/** When the engine at an address listens again. */
	readonly #restartedAt = new Map<string, number>();
	readonly #delay: Delay;
	#nextEngine = 1;

	/** @param delay - Draws how long a message takes, in milliseconds. */
	constructor(delay: Delay) {
		this.#delay = delay;
		this.#sessions = this.voters.voters.map((_, index) => this.#startVoter(index));
		for (let index = 0; index < GATEWAYS; index += 1) {
			this.gateways.push(this.#startGateway(`gateway-${index}`));
		}
	}

	/** Sends the request to a gateway, and then to each next one as soon as its caller has an answer. */
	try(index: number): void {
		const gateway = this.gateways[index % GATEWAYS];
		const goOn = (): void => {
			this.time.after(TRY_GAP_MS, () => {
				this.try(index + 1);
			});
		};

		gateway.process.take(() => {
			this.#arrive(gateway, goOn);
		});
	}

	#arrive(gateway: Gateway, answer: () => void): void {
		const {guard, process} = gateway;
		const request = {head: {id: 'try'}, fingerprint: SUSPECT} as unknown as GatewayRequest;
		if (guard.getRefusal(request)) {
			this.refusals += 1;
			answer();
			return;
		}

		const engine = this.#nextEngine;
		this.#nextEngine += 1;
		const upstream = newUpstream(`run-${engine}`, {address: `10.0.0.${engine}:80`});
		this.time.after(BEGIN_MS + CRASH_MS, () => {
			this.crashes += 1;
			this.#announceReplaced(upstream);
			process.take(() => {
				guard.noteEnd(request, upstream, {
					code: RESULT_CODE.AnswerCut, outcome: OUTCOME.Unknown, reason: 'reset', connection: CONNECTION_END.Broken, phase: SUSPECT_PHASE.Begun,
				}, isLast => {
					if (isLast) {
						answer();
					} else {
						this.#arrive(gateway, answer);
					}
				});
			});
		});
	}

	#announceReplaced({id, address}: ReturnType<typeof newUpstream>): void {
		this.#restartedAt.set(address, this.time.now + RESTART_MS);
		this.time.after(ANNOUNCED_MS, () => {
			for (const {guard, process, isCut} of this.gateways) {
				if (!isCut) {
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
		const gatewayLeases = new GatewayLeases({clock, getTerm: () => log.node!.term});
		const quarantine = new QuarantineRegistry({
			voter: log,
			clock,
			timers,
			logger: pino({level: 'silent'}),
			getPausedCrashes: () => gatewayLeases.pausedCrashes,
			onChange: () => {
				this.#sessions?.[index].pushSoon();
			},
		});
		const {voters} = this;
		const node = {
			get isCurrentLeader() {
				return voters.isLeading(index);
			},
			canRead: true,
			isInformed: true,
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
				// Each leadership begins with a directory of its own.
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
			watch: {isOutside: false},
			rollout: NO_ROLLOUT,
			timers,
			clock,
		});
		quarantine.start();
		sessions.start();
		timers.repeat(ANNOUNCE_MS, () => {
			sessions.pushSoon();
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
			getLeaderAgeMs: () => this.time.now - gateway.heardAt,
			isPortRefused: async address => this.time.now < (this.#restartedAt.get(address) ?? 0),
			onCrash: ignore,
			onCrashNews() {
				timers.after(COALESCE_MS, () => {
					gateway.send(false);
				});
			},
			onQuarantined: ignore,
		});
		const gateway: Gateway = {
			vm, process, guard, isCut: false, session: 0, voter: this.voters.leader, heardAt: Number.NEGATIVE_INFINITY, send: ignore,
		};
		let connectedAt = this.time.now;
		const take = (update: SessionUpdate): void => {
			if (update.quarantine) {
				guard.exchange.take(update.quarantine, update.isCurrent);
			}

			if (update.isCurrent) {
				gateway.heardAt = this.time.now;
				gatewayCount = Math.max(gatewayCount, update.gatewayCount);
				guard.exchange.noteHeard(update.sentAt, update.isCrashLeaseGranted);
				guard.exchange.noteKnown(update.crashesKnownUntil);
				guard.exchange.noteObeyed(update.crashesObeyedUntil);
				if (update.isReportWanted) {
					gateway.send(false);
				}
			} else if (update.leaderAddress === '') {
				// The session goes on when that voter comes to lead.
				connectedAt = this.time.now;
				const {session} = gateway;
				timers.after(ASK_AGAIN_MS, () => {
					if (gateway.session === session) {
						gateway.send(false);
					}
				});
			} else {
				this.#connect(gateway, Number(update.leaderAddress), () => gatewayCount, take);
			}
		};

		timers.repeat(HEARTBEAT_MS, now => {
			if (now - Math.max(gateway.heardAt, connectedAt) > SILENT_MS) {
				connectedAt = now;
				this.#connect(gateway, gateway.voter + 1, () => gatewayCount, take);
			} else {
				gateway.send(false);
			}
		});
		this.#connect(gateway, gateway.voter, () => gatewayCount, take);
		return gateway;
	}

	/** Begins a session with a voter; the one before ends there without a word while the gateway is cut off. */
	#connect(gateway: Gateway, voter: number, getCount: () => number, take: (update: SessionUpdate) => void): void {
		gateway.voter = voter % this.voters.voters.length;
		gateway.session += 1;
		const {session} = gateway;
		const target = this.voters.voters[gateway.voter].process;
		let isLost = false;
		const isOpen = (): boolean => {
			isLost ||= gateway.isCut;
			return gateway.session === session && !isLost;
		};

		const there = new SimulatedLink(this.time, target, this.#delay);
		const back = new SimulatedLink(this.time, gateway.process, this.#delay);
		const ends: Array<() => void> = [];
		const stream = {
			on(_event: string, listener: () => void) {
				ends.push(listener);
			},
			write(update: SessionUpdate) {
				back.send(() => {
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
				sentAt: this.time.now - INSTANT_MS,
				crashes: crashes.map(crash => encodeCrash(crash)),
				served: served.map(fingerprint => Uint8Array.from(Buffer.from(fingerprint, 'hex'))),
				quarantineVersion,
				gatewayCount: getCount(),
			});
			there.send(() => {
				if (isOpen()) {
					this.#sessions[this.voters.voters.findIndex(({process}) => process === target)].take(stream as never, report);
				} else if (!gateway.isCut) {
					for (const end of ends) {
						end();
					}
				}
			});
		};

		gateway.send(true);
	}
}
