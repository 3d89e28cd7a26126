import * as Schema from 'effect/Schema';

const LENGTH = Schema.Struct({mean: Schema.Finite, spread: Schema.Finite, max: Schema.Finite});

/** Models of one size. Memory in megabytes, times in milliseconds. */
const MODEL_GROUP = Schema.Struct({
	/** Models are named by the group and a number. */
	group: Schema.String,
	count: Schema.Int,
	weightMemory: Schema.Finite,
	adapterMemory: Schema.Finite,
	adapters: Schema.Int,
	adapterLoadMs: Schema.Finite,
	storeLoadMs: Schema.Finite,
	diskLoadMs: Schema.Finite,
	memoryLoadMs: Schema.Finite,
	pace: Schema.Finite,
	/** Engines that hold each model at the start, and those that keep a copy on disk. */
	holders: Schema.Int,
	copies: Schema.Int,
});

/** One class of requests. */
const CALLER_GROUP = Schema.Struct({
	name: Schema.String,
	priority: Schema.Int,
	objectiveMs: Schema.Finite,
	pauseObjectiveMs: Schema.Finite,
	deadlineMs: Schema.Finite,
	/** A stream without a first event, or with a pause, of this length is left by its caller. */
	patienceMs: Schema.Finite,
	perSecond: Schema.Finite,
	/** Requests that come at the same moment, on the average. */
	clump: Schema.optionalKey(Schema.Finite),
	worth: Schema.Finite,
	lateWorth: Schema.Finite,
	isResumable: Schema.Boolean,
	maxAttempts: Schema.Int,
	/** Groups of models that are asked for, and the weights of the first models of each; all others weigh 1 unless weights are given. */
	groups: Schema.Array(Schema.String),
	weights: Schema.optionalKey(Schema.Array(Schema.Finite)),
	adapterShare: Schema.Finite,
	sharedTokens: Schema.Finite,
	ownTokens: LENGTH,
	newTokens: LENGTH,
});

/** What happens at a time of the pattern, in milliseconds. */
const PATTERN_EVENT = Schema.Union([
	Schema.Struct({
		kind: Schema.Literal('burst'), at: Schema.Finite, forMs: Schema.Finite, className: Schema.String, factor: Schema.Finite,
	}),
	Schema.Struct({
		kind: Schema.Literal('shift'), at: Schema.Finite, className: Schema.String, weights: Schema.Array(Schema.Finite),
	}),
	/** An engine is lost for good. */
	Schema.Struct({kind: Schema.Literal('crash'), at: Schema.Finite, engine: Schema.Int}),
	/** An engine crashes and comes back empty with its disk. */
	Schema.Struct({
		kind: Schema.Literal('restart'), at: Schema.Finite, engine: Schema.Int, downMs: Schema.Finite,
	}),
	/** Requests of a class that crash each engine that begins to run them are sent again and again. */
	Schema.Struct({
		kind: Schema.Literal('crashing'), at: Schema.Finite, className: Schema.String, count: Schema.Int, everyMs: Schema.Finite, forMs: Schema.Finite, downMs: Schema.Finite,
	}),
	/** An engine names in its answers how many requests a second it takes from all gateways together. */
	Schema.Struct({
		kind: Schema.Literal('limit'), at: Schema.Finite, engine: Schema.Int, perSecond: Schema.Finite,
	}),
	/** An engine that keeps no copies joins. */
	Schema.Struct({kind: Schema.Literal('join'), at: Schema.Finite}),
	/** An engine takes no more work and ends after a while. */
	Schema.Struct({
		kind: Schema.Literal('leave'), at: Schema.Finite, engine: Schema.Int, noticeMs: Schema.Finite,
	}),
]);

/** A pattern of load on an installation, as its JSON file states it. */
export const PATTERN_SCHEMA = Schema.Struct({
	/** What the pattern asks of the policy. */
	description: Schema.String,
	lengthMs: Schema.Finite,
	gateways: Schema.Int,
	/** One way between two processes, in milliseconds. */
	linkMs: Schema.Finite,
	fullSpeedStoreLoads: Schema.Int,
	/** How old the state is that engines tell, in milliseconds, where they are ordered from other machines; 0 from their own. */
	statusLagMs: Schema.optionalKey(Schema.Finite),
	engines: Schema.Struct({
		count: Schema.Int,
		/** How slow each engine is, relative to the terms; 1 where none is given. */
		slowness: Schema.optionalKey(Schema.Array(Schema.Finite)),
		slots: Schema.Int,
		maxQueued: Schema.Int,
		stepMs: Schema.Finite,
		stepMsPerRun: Schema.Finite,
		promptTokensPerMs: Schema.Finite,
		chunkTokens: Schema.Int,
		tokensPerEvent: Schema.Int,
		weightMemory: Schema.Finite,
		adapterSlots: Schema.Int,
		hostMemory: Schema.Finite,
		diskMemory: Schema.Finite,
		unloadMs: Schema.Finite,
	}),
	models: Schema.Array(MODEL_GROUP),
	classes: Schema.Array(CALLER_GROUP),
	events: Schema.Array(PATTERN_EVENT),
});
