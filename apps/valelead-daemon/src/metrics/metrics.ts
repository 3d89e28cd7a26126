import {
	type Registry as RegistryShape, collectDefaultMetrics, Counter, Gauge, Histogram, Registry,
} from 'prom-client';

const SECONDS_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120];
const TOKEN_BUCKETS = [0.001, 0.005, 0.01, 0.02, 0.04, 0.065, 0.1, 0.2, 0.5, 1, 5];

/** The number of teams with their own label, which bounds the series of a histogram. Further teams share the label `other`. */
const MAX_TEAM_LABELS = 300;

type RequestLabels = 'team' | 'class';

/** The Prometheus metrics of a daemon. No label contains a model, a prompt or a key. */
export class Metrics {
	readonly registry: RegistryShape = new Registry();
	readonly queueWait: Histogram<RequestLabels>;
	/** Time from arrival until a request that is ordered by its latest start was first dispatched or was refused, by its stage at that time. */
	readonly stageWait: Histogram<'class' | 'stage'>;
	readonly coldStart: Histogram<RequestLabels>;
	readonly firstToken: Histogram<RequestLabels>;
	readonly betweenTokens: Histogram<RequestLabels>;
	readonly duration: Histogram<RequestLabels>;
	readonly results: Counter<RequestLabels | 'code'>;
	readonly configurationAge: Gauge;
	readonly revision: Gauge;
	/** Set by the leader: for how long followers applied an older routing configuration after a newer one was committed. */
	readonly routingLag: Histogram<'role'>;
	/** Set by the leader: number of engines that no process manages. */
	readonly unmanagedEngines: Gauge;
	/** Number of voters of the quorum, of reachable voters, and of simultaneous voter failures that the quorum tolerates, as known to this voter. */
	readonly voters: Gauge;
	readonly reachableVoters: Gauge;
	readonly toleratedLosses: Gauge;
	/** The fault tolerance in the settings: the number of simultaneous voter failures that the quorum is to survive. */
	readonly faultTolerance: Gauge;
	/** Number of upstreams that crashed while they processed requests of this gateway. */
	readonly crashedUpstreams: Counter;
	/** Attempts that the gateway ended before their responses were complete, by whether the response had begun. */
	readonly cancelledAttempts: Counter<'answered'>;
	/** Requests that were aborted at the end of the grace period, by whether they had arrived before or after the stop signal. */
	readonly requestsAbortedAtStop: Counter<'arrived'>;
	/** Retries, by service and by whether the retry budget of the service allowed them: `sent` or `refused`. */
	readonly retries: Counter<'service' | 'result'>;
	/** Number of upstreams that announce a request rate limit, as known to this gateway. */
	readonly limitedUpstreams: Gauge;
	/** Choices in which an engine was preferred because it has read the shared parts of the prompt. */
	readonly preferredChoices: Counter<'class'>;
	/** Number of engines that this gateway counts as slower than the median of their service. */
	readonly slowEngines: Gauge;
	/** Number of quarantined requests, which this gateway does not send to upstreams. */
	readonly quarantinedRequests: Gauge;
	/** Quota units that requests have used, by team. */
	readonly usedQuota: Counter<'team'>;
	/** Set by the leader: the quota units that each team may use at once, and the units of them lent to gateways. */
	readonly quotaLevel: Gauge<'team'>;
	readonly lentQuota: Gauge<'team'>;
	/** Dispatches of each team that order its waiting requests: those of this gateway (`own`), and of the others as the leader told (`others`). */
	readonly teamDispatches: Counter<'team' | 'gateway'>;
	/** Lookups of the origins of streams that callers resume, by result: `own`, `found` or `unknown`. */
	readonly streamOriginLookups: Counter<'result'>;
	/** Number of stream origins that this voter stores. */
	readonly storedStreamOrigins: Gauge;
	/** Memory that responses in progress occupy at this gateway, in bytes. */
	readonly heldResponseBytes: Gauge;
	/** Responses that were ended to bound that memory, by reason: `size`, `budget` or `caller`. */
	readonly endedResponses: Counter<'reason'>;
	readonly refusedControlCalls: Counter<'call' | 'code'>;
	readonly #teams = new Set<string>();

	constructor() {
		const registers = [this.registry];
		const labelNames = ['team', 'class'] as const;
		const newHistogram = (name: string, help: string, buckets: number[]): Histogram<RequestLabels> => new Histogram({
			name, help, labelNames, buckets, registers,
		});
		this.queueWait = newHistogram('valelead_queue_wait_seconds', 'Time from arrival to dispatch.', SECONDS_BUCKETS);
		this.stageWait = new Histogram({
			name: 'valelead_stage_wait_seconds', help: 'Time from arrival to first dispatch or refusal, by stage.', labelNames: ['class', 'stage'], buckets: SECONDS_BUCKETS, registers,
		});
		this.coldStart = newHistogram('valelead_cold_start_seconds', 'Time to the first part of the answer of requests that found no replica.', SECONDS_BUCKETS);
		this.firstToken = newHistogram('valelead_first_token_seconds', 'Time from arrival to the first part of the answer.', SECONDS_BUCKETS);
		this.betweenTokens = newHistogram('valelead_between_tokens_seconds', 'Time between two parts of a streamed answer.', TOKEN_BUCKETS);
		this.duration = newHistogram('valelead_request_seconds', 'Time from arrival to the end of the answer.', SECONDS_BUCKETS);
		this.results = new Counter({
			name: 'valelead_results_total', help: 'Ended requests by result code.', labelNames: ['team', 'class', 'code'], registers,
		});
		this.configurationAge = new Gauge({name: 'valelead_configuration_age_seconds', help: 'Time since the leader last confirmed the configuration.', registers});
		this.revision = new Gauge({name: 'valelead_revision', help: 'The revision of the configuration in force.', registers});
		this.routingLag = new Histogram({
			name: 'valelead_routing_lag_seconds',
			help: 'Time from the commit of a routing until a follower has confirmed it or a newer one.',
			labelNames: ['role'],
			buckets: SECONDS_BUCKETS,
			registers,
		});
		this.unmanagedEngines = new Gauge({name: 'valelead_unattended_engines', help: 'Engines that announce themselves and that no process gives orders to, as the leader knows.', registers});
		this.voters = new Gauge({name: 'valelead_quorum_voters', help: 'Voters of the quorum.', registers});
		this.reachableVoters = new Gauge({name: 'valelead_quorum_heard_voters', help: 'Voters of the quorum that this voter has heard lately, itself included.', registers});
		this.toleratedLosses = new Gauge({name: 'valelead_quorum_borne_losses', help: 'Voters that may be lost at once while the rest is a majority.', registers});
		this.faultTolerance = new Gauge({name: 'valelead_quorum_fault_tolerance', help: 'Losses at once that the settings state.', registers});
		this.refusedControlCalls = new Counter({
			name: 'valelead_refused_control_calls_total', help: 'Calls of operators and upstreams that were refused, by call and result code.', labelNames: ['call', 'code'], registers,
		});
		this.crashedUpstreams = new Counter({name: 'valelead_crashed_upstreams_total', help: 'Upstreams that ended without notice while they worked on requests of this gateway.', registers});
		this.cancelledAttempts = new Counter({
			name: 'valelead_cancelled_attempts_total',
			help: 'Attempts that this gateway ended before their answers were complete, by whether the answer had begun.',
			labelNames: ['answered'],
			registers,
		});
		this.requestsAbortedAtStop = new Counter({
			name: 'valelead_stop_cuts_total',
			help: 'Requests that were broken off as the gateway stopped, by whether they had come before or after the stop signal.',
			labelNames: ['arrived'],
			registers,
		});
		this.retries = new Counter({
			name: 'valelead_retries_total', help: 'Retries that the budget of a service allowed or refused.', labelNames: ['service', 'result'], registers,
		});
		this.limitedUpstreams = new Gauge({name: 'valelead_limited_upstreams', help: 'Upstreams that name a limit of requests a second in their answers.', registers});
		this.preferredChoices = new Counter({
			name: 'valelead_prompt_reuse_choices_total', help: 'Requests that preferred the engine that reads the shared parts of their prompts.', labelNames: ['class'], registers,
		});
		this.slowEngines = new Gauge({name: 'valelead_slow_engines', help: 'Engines that count as slower than the median of their service.', registers});
		this.quarantinedRequests = new Gauge({name: 'valelead_quarantined_requests', help: 'Requests that are kept from upstreams, as upstreams crashed under them.', registers});
		this.usedQuota = new Counter({
			name: 'valelead_quota_used_total', help: 'Units of teams\' quotas that requests have used at this gateway.', labelNames: ['team'], registers,
		});
		this.quotaLevel = new Gauge({
			name: 'valelead_quota_level', help: 'Units that a team may use at once, as the leader knows.', labelNames: ['team'], registers,
		});
		this.lentQuota = new Gauge({
			name: 'valelead_quota_lent', help: 'Units of a team that the leader has lent to gateways.', labelNames: ['team'], registers,
		});
		this.teamDispatches = new Counter({
			name: 'valelead_team_dispatches_total',
			help: 'Dispatches of a team by which its waiting requests are ordered: of this gateway (own), and of the others (others).',
			labelNames: ['team', 'gateway'],
			registers,
		});
		this.streamOriginLookups = new Counter({
			name: 'valelead_stream_origin_lookups_total', help: 'Lookups of where a stream began that a caller resumes, by result.', labelNames: ['result'], registers,
		});
		this.storedStreamOrigins = new Gauge({name: 'valelead_stored_stream_origins', help: 'Streams of which this voter remembers where they began.', registers});
		this.heldResponseBytes = new Gauge({name: 'valelead_held_answer_bytes', help: 'Memory of answers that are held at this gateway.', registers});
		this.endedResponses = new Counter({
			name: 'valelead_given_up_answers_total', help: 'Answers that were given up to bound the memory of answers, by reason.', labelNames: ['reason'], registers,
		});
		collectDefaultMetrics({register: this.registry});
	}

	/** Returns the label of a team: its name, or `other` once the maximum number of labels is in use. */
	getTeamLabel(team: string): string {
		if (this.#teams.has(team)) {
			return team;
		}

		if (this.#teams.size >= MAX_TEAM_LABELS) {
			return 'other';
		}

		this.#teams.add(team);
		return team;
	}
}
