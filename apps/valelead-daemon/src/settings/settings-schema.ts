import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';

const MAX_PORT = 65_535;
const MAX_MS = 86_400_000;

const PORT = Schema.Int.check(Schema.isBetween({minimum: 1, maximum: MAX_PORT}));
const ADDRESS = Schema.String.check(Schema.isPattern(/^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[\da-f:]+\]):\d{1,5}$/v)).annotate({description: 'An IP number and a port, such as 10.0.0.1:7001.'});
const NAME = Schema.String.check(Schema.isPattern(/^[a-z\d][\w.\-]{0,62}$/v));
const LISTEN = Schema.Struct({host: Schema.String, port: PORT});

const newMillisecondsSchema = (value: number, description: string) => Schema.Int
	.check(Schema.isBetween({minimum: 1, maximum: MAX_MS}))
	.annotate({description: `${description} In milliseconds.`})
	.pipe(Schema.withDecodingDefaultKey(Effect.succeed(value)));

const newNumberSchema = (value: number, description: string) => Schema.Finite
	.check(Schema.isBetween({minimum: 0, maximum: Number.MAX_SAFE_INTEGER}))
	.annotate({description})
	.pipe(Schema.withDecodingDefaultKey(Effect.succeed(value)));

/** The highest fault tolerance. A quorum with more voters than it requires would commit too slowly for any installation. */
const MAX_LOSSES = 8;

const FAULT_TOLERANCE = Schema.Int
	.check(Schema.isBetween({minimum: 0, maximum: MAX_LOSSES}))
	.annotate({description: 'VMs with a disk that may be lost at once while all that was acknowledged is kept and the quorum goes on. It takes two voters for each and one more.'})
	.pipe(Schema.withDecodingDefaultKey(Effect.succeed(1)));

const TLS = Schema.Struct({
	certificateFile: Schema.String,
	keyFile: Schema.String,
	authorityFile: Schema.String.annotate({description: 'Peers must show a certificate of this authority.'}),
});

const LISTEN_HOST = Schema.optionalKey(Schema.String.annotate({description: 'The IP number to listen at where it differs from `host`, as behind an address translation.'}));

const COMMON_SETTINGS = {
	vm: NAME.annotate({description: 'The name of the VM, one in the installation.'}),
	dataCentre: NAME,
	admin: LISTEN.annotate({description: 'Where /healthz, /readyz and /metrics are served.'}),
	tls: Schema.optionalKey(TLS),
	logLevel: Schema.Literals(['debug', 'info', 'warn', 'error']).pipe(Schema.withDecodingDefaultKey(Effect.succeed('info' as const))),
	heartbeatMs: newMillisecondsSchema(250, 'How often the process reports to the leader.'),
	maxConfigurationAgeMs: newMillisecondsSchema(10_000, 'Cut off from the leader for longer, the process takes no new work.'),
	stopLimitMs: newMillisecondsSchema(30_000, 'How long a planned stop waits for requests in progress.'),
};

const POLICY = Schema.Struct({
	coldStartWeight: newNumberSchema(1, 'Cost of one second that one request of weight 1 waits for a cold model.'),
	idleWeight: newNumberSchema(0.01, 'Cost of one second that one accelerator holds weights without work.'),
	loadsPerSecond: newNumberSchema(3, 'Loads from the weight store that may start in a second.'),
	concurrentLoads: newNumberSchema(4, 'Loads from the weight store that may run at once.'),
	assumedLoadMsPerGib: newNumberSchema(500, 'Load time for each GiB until one was measured. In milliseconds.'),
});

const VOTER = Schema.Struct({
	listen: ADDRESS,
	dataFolder: Schema.String,
	faultTolerance: FAULT_TOLERANCE,
	electionTimeoutMs: newMillisecondsSchema(500, 'The shortest election timeout; the longest is twice this.'),
	consensusHeartbeatMs: newMillisecondsSchema(100, 'How often a leader sends to the other voters.'),
	snapshotEvery: newNumberSchema(5000, 'Log entries after which a snapshot is taken.'),
	leaseMs: newMillisecondsSchema(2000, 'A VM or entry that is silent for longer gets no new work.'),
	assumeLostMs: newNumberSchema(0, 'A VM that is silent for longer is taken as gone and its replicas as free; 0 waits for proof. In milliseconds.'),
	policy: POLICY,
});

const ENTRY = Schema.Struct({
	role: Schema.Literal('entry'),
	...COMMON_SETTINGS,
	http: LISTEN.annotate({description: 'Where callers are served.'}),
	controlAddresses: Schema.Array(ADDRESS).annotate({description: 'The voters, at the addresses where they listen.'}),
	operatorKeyFile: Schema.optionalKey(Schema.String.annotate({description: 'A file with the first operator key, needed until one is created.'})),
	voter: Schema.optionalKey(VOTER),
	maxBodyBytes: newNumberSchema(1_048_576, 'The largest body of a request.'),
	maxAnswerBytes: newNumberSchema(16_777_216, 'The largest answer that is not streamed.'),
	maxConnections: newNumberSchema(2000, 'Connections of callers at once.'),
	streamStallMs: newMillisecondsSchema(30_000, 'A caller that takes nothing of its stream for longer is cut off.'),
	balancerDelayMs: newMillisecondsSchema(500, 'After a stop signal, how long connections are still taken while /readyz fails.'),
});

const AGENT = Schema.Struct({
	role: Schema.Literal('agent'),
	...COMMON_SETTINGS,
	listen: ADDRESS.annotate({description: 'Where entries reach this agent.'}),
	guardPort: PORT.annotate({description: 'A port of the VM that the agent holds while it runs, so that no second one starts.'}),
	upstream: LISTEN.annotate({description: 'Where the upstream of this VM is reached.'}),
	controlAddresses: Schema.Array(ADDRESS),
	creditMs: newMillisecondsSchema(2000, 'How long a credit to dispatch is valid.'),
	spareCredits: newNumberSchema(4, 'Credits that an active entry holds in advance.'),
	replicaLeaseMs: newMillisecondsSchema(60_000, 'Cut off from the leader for longer, the agent unloads its replicas.'),
	settleMs: newMillisecondsSchema(1000, 'Time after which a lost order can no longer reach the upstream.'),
	loadRetryMs: newMillisecondsSchema(1000, 'Wait before a refused load is ordered again.'),
	orderTimeoutMs: newMillisecondsSchema(600_000, 'The longest time of a load.'),
	statusMs: newMillisecondsSchema(250, 'How often the upstream is asked for its status.'),
});

const FOLLOWER_SETTINGS = {
	vm: COMMON_SETTINGS.vm,
	dataCentre: COMMON_SETTINGS.dataCentre,
	admin: COMMON_SETTINGS.admin,
	logLevel: COMMON_SETTINGS.logLevel,
	tls: COMMON_SETTINGS.tls,
	heartbeatMs: newMillisecondsSchema(500, 'How often the process reports to the leader.'),
	controlAddresses: Schema.Array(ADDRESS).annotate({description: 'Control interfaces of some controllers, to find the others.'}),
	peerPort: PORT.annotate({description: 'The port at which the processes of the installation reach a controller, on every VM.'}),
	sidecarPort: PORT.annotate({description: 'The port at which gateways reach the sidecar of an engine, on every VM.'}),
	graceSeconds: newNumberSchema(30, 'Time between the stop signal and the end that the platform forces. In seconds.'),
};

const newSwitchSchema = (description: string, isOn = true) => Schema.Boolean.annotate({description}).pipe(Schema.withDecodingDefaultKey(Effect.succeed(isOn)));

const SCHEDULING = Schema.Struct({
	speed: newSwitchSchema('Whether requests avoid engines that are measured to be slow.'),
	promptReuse: newSwitchSchema('Whether requests prefer the engine that has processed their shared prompt segments.'),
	promptMemory: newSwitchSchema('Whether requests are refused whose prompt and response exceed the memory of every engine.'),
	latestStart: newSwitchSchema('Whether waiting requests are ordered by the time at which they must start to meet their latency objective.'),
	quotaReserve: newSwitchSchema('Whether more of each quota is borrowed, to serve while no leader answers.'),
	classBalance: newSwitchSchema('Whether classes that got a smaller share of their demand go first among requests that are due.', false),
	teamShares: newSwitchSchema('Whether waiting requests are ordered by what their teams received at all gateways, in place of this gateway alone.', false),
	loadForecast: newSwitchSchema('Whether loads follow the measured capacity of the weight store and the urgency of requests, and refused callers are told when they can be served.'),
});

const GATEWAY = Schema.Struct({
	role: Schema.Literal('gateway'),
	...FOLLOWER_SETTINGS,
	host: Schema.String.annotate({description: 'The IP number at which other gateways reach this process, on `sidecarPort`, for engines that it gives orders to.'}),
	listenHost: LISTEN_HOST,
	concurrentStoreLoads: newNumberSchema(4, 'Idle engines that fetch models from the weight store at once, over the installation.'),
	http: ADDRESS.annotate({description: 'Where callers are served.'}),
	readiness: ADDRESS.annotate({description: 'Where the balancer asks for readiness.'}),
	retryRatio: newNumberSchema(0.1, 'Retries that each request earns for its service.'),
	retryReserve: newNumberSchema(20, 'Retries that all gateways together may send beyond the earned ones, for each service.'),
	retryWindowSeconds: newNumberSchema(10, 'The span of time in which the retries to a service are counted, in seconds.'),
	announceMs: newMillisecondsSchema(2000, 'How often upstreams announce themselves.'),
	memoryMb: newNumberSchema(250, 'The memory that the process may use; an eighth of it may hold answers in progress. In megabytes.'),
	callerStallMs: newMillisecondsSchema(30_000, 'A caller that reads nothing of its answer for longer is disconnected.'),
	scheduling: SCHEDULING.pipe(Schema.withDecodingDefaultKey(Effect.succeed({}))),
	revokeMs: newNumberSchema(0, 'A key that was taken away is of no use this long after the acknowledgement: a process that is cut off refuses all keys. 0 for no such promise. In milliseconds.'),
});

const SIDECAR = Schema.Struct({
	role: Schema.Literal('sidecar'),
	...FOLLOWER_SETTINGS,
	host: Schema.String.annotate({description: 'The IP number at which gateways reach this process.'}),
	listenHost: LISTEN_HOST,
	engine: ADDRESS.annotate({description: 'Where the engine of this VM is reached.'}),
	service: Schema.String.annotate({description: 'The service that the engine belongs to.'}),
	concurrentStoreLoads: newNumberSchema(4, 'Idle engines that fetch models from the weight store at once, over the installation.'),
});

const CONTROLLER = Schema.Struct({
	role: Schema.Literal('controller'),
	...FOLLOWER_SETTINGS,
	host: Schema.String.annotate({description: 'The IP number at which the installation reaches this process.'}),
	listenHost: LISTEN_HOST,
	control: ADDRESS.annotate({description: 'Where operators and upstreams reach the control interface.'}),
	operatorKeyFile: Schema.optionalKey(Schema.String),
	dataFolder: Schema.optionalKey(Schema.String.annotate({description: 'Left out on a VM without a disk: the controller then has no vote and sends callers to the leader.'})),
	faultTolerance: FAULT_TOLERANCE,
	mayForm: Schema.Boolean.annotate({description: 'Whether this is the first start of the installation; only then a quorum is formed.'}),
	announceMs: newMillisecondsSchema(2000, 'How often upstreams announce themselves.'),
	electionTimeoutMs: newMillisecondsSchema(700, 'The shortest election timeout; the longest is twice this.'),
	consensusHeartbeatMs: newMillisecondsSchema(200, 'How often a leader sends to the other voters.'),
	snapshotEvery: newNumberSchema(50, 'Log entries after which a snapshot is taken; each may hold a whole configuration.'),
	quotaWindowSeconds: newNumberSchema(10, 'The span over which use of a team\'s quota is counted. In seconds.'),
	quotaOvershoot: newNumberSchema(0, 'The share of what a quota allows in such a span that all gateways together may let through beyond it.'),
	quotaSlack: newNumberSchema(0, 'Units of a quota that may come on top of that.'),
	quotaRateLoans: newSwitchSchema('Whether parts of the quotas\' rates are lent to gateways. Switch it on once all controllers know it.', false),
	orderGapMs: newMillisecondsSchema(3000, 'Between the last order of one process to an engine without a sidecar and the first of the next one.'),
});

/** The schema of the settings file of a daemon. The property `role` selects the settings that apply. */
export const SETTINGS_SCHEMA = Schema.Union([ENTRY, AGENT, GATEWAY, SIDECAR, CONTROLLER]);
