import {RESULT_CODE, SYSTEM_CLOCK, ValeleadError} from '@valelead/common';
import {type Intent, getCommittedBytes, isDrained} from '@valelead/intent';
import {getDemands, isVmLive} from '@valelead/membership';
import type {Row} from '@valelead/language/rows';
import type {Leader} from './leader.js';
import type {Voter} from './voter.js';

type Listing = (voter: Voter, leader: Leader) => Row[];

const BYTES_PER_GIB = 2 ** 30;

const toGib = (bytes: number): number => Math.round(bytes / BYTES_PER_GIB * 100) / 100;

const getReadyCount = (leader: Leader, unitKeys: readonly string[]): number => {
	let ready = 0;
	for (const {report} of leader.fleet.vms.values()) {
		ready += report.units.filter(unit => unit.state === 'ready' && unitKeys.includes(unit.unit)).length;
	}

	return ready;
};

const getModelStatus = (granted: number, ready: number, waiting: number, isStopped: boolean): string => {
	if (isStopped) {
		return 'stopped';
	}

	if (granted === 0) {
		return waiting > 0 ? 'waiting for a place' : 'no demand';
	}

	return ready < granted ? 'loading' : 'in force';
};

const newVmRow = (intent: Intent, leader: Leader, name: string): Row => {
	const vm = intent.vms.get(name)!;
	const received = leader.fleet.vms.get(name);
	const now = SYSTEM_CLOCK.now();
	return {
		name,
		dataCentre: vm.dataCentre,
		address: vm.address,
		service: vm.service,
		memoryGib: toGib(vm.memoryBytes),
		committedGib: toGib(getCommittedBytes(intent, name)),
		inProgress: received?.report.inProgress ?? 0,
		isDrained: isDrained(intent, name),
		isLeaving: received?.report.isLeaving ?? false,
		isLive: isVmLive(leader.fleet, leader.membership, name, now),
		silentMs: received ? Math.round(now - received.receivedAt) : -1,
	};
};

const newModelRow = (voter: Voter, leader: Leader, name: string): Row => {
	const {intent} = voter.machine;
	const model = intent.models.get(name)!;
	const units = model.versions.map(version => `${name}@${version}`);
	const demands = getDemands(leader.fleet);
	const granted = intent.grantsByOwner.get(name)?.length ?? 0;
	const ready = getReadyCount(leader, units);
	const waiting = units.reduce((sum, unit) => sum + (demands.get(unit)?.waiting ?? 0), 0);
	return {
		name,
		version: model.version,
		class: model.class,
		memoryGib: toGib(model.memoryBytes),
		minReplicas: model.minReplicas,
		maxReplicas: model.maxReplicas,
		granted,
		ready,
		waiting,
		teams: model.teams.join(','),
		why: getModelStatus(granted, ready, waiting, model.isStopped),
	};
};

const newReplicaRow = (intent: Intent, leader: Leader, grantId: string): Row => {
	const grant = intent.grants.get(grantId)!;
	const unit = leader.fleet.vms.get(grant.vm)?.report.units.find(candidate => candidate.unit === grant.unit);
	return {
		unit: grant.unit,
		vm: grant.vm,
		intended: grant.isRevoking ? 'revoked' : 'granted',
		actual: unit?.state ?? 'unknown',
		inProgress: unit?.inProgress ?? 0,
		idleMs: Math.round(unit?.idleMs ?? 0),
		memoryGib: toGib(grant.memoryBytes),
		fence: grant.fence,
	};
};

const LISTINGS: Readonly<Record<string, Listing>> = {
	teams: ({machine}) => [...machine.intent.teams.values()].map(team => ({
		name: team.name, weight: team.weight, maxInProgress: team.maxInProgress, maxWaiting: team.maxWaiting, classes: team.classes.join(','), keys: team.keys.length, isStopped: team.isStopped,
	})),
	keys: ({machine}) => [...machine.intent.teams.values()].flatMap(team => team.keys.map(key => ({team: team.name, name: key.name}))),
	classes: ({machine}) => [...machine.intent.classes.values()].map(requestClass => ({...requestClass})),
	models: (voter, leader) => [...voter.machine.intent.models.keys()].map(name => newModelRow(voter, leader, name)),
	versions: ({machine}) => [...machine.intent.models.values()].flatMap(model => model.versions.map(version => ({model: model.name, name: version, isServed: version === model.version}))),
	adapters: ({machine}) => [...machine.intent.adapters.values()].map(adapter => ({
		model: adapter.model, name: adapter.name, memoryGib: toGib(adapter.memoryBytes), maxReplicas: adapter.maxReplicas, teams: adapter.teams.join(','),
	})),
	services: ({machine}) => [...machine.intent.services.values()].map(service => ({
		name: service.name, class: service.class, isRepeatable: service.isRepeatable, isStopped: service.isStopped, teams: service.teams.join(','),
	})),
	operators: ({machine}) => [...machine.intent.operators.values()].map(operator => ({name: operator.name, canWrite: operator.canWrite})),
	vms: ({machine}, leader) => [...machine.intent.vms.keys()].map(name => newVmRow(machine.intent, leader, name)),
	upstreams: ({machine}, leader) => [...machine.intent.vms.values()].map(vm => ({
		vm: vm.name, kind: vm.service === '' ? 'engine' : 'service', service: vm.service, incarnation: vm.upstreamIncarnation, capacity: leader.fleet.vms.get(vm.name)?.report.capacity ?? 0,
	})),
	replicas: ({machine}, leader) => [...machine.intent.grants.keys()].map(grantId => newReplicaRow(machine.intent, leader, grantId)),
	queues: (_voter, leader) => [...leader.fleet.entries.values()].flatMap(({report}) => report.demands.map(demand => ({
		entry: report.vm, target: demand.unit, waiting: demand.waiting, weight: demand.weight, mostRemainingMs: Math.round(demand.mostRemainingMs),
	}))),
	entries: (_voter, leader) => [...leader.fleet.entries.values()].map(({report, receivedAt}) => ({
		vm: report.vm, revision: report.revision, waiting: report.waiting, inProgress: report.inProgress, silentMs: Math.round(SYSTEM_CLOCK.now() - receivedAt),
	})),
	voters: ({node}) => (node?.voters ?? []).map(voter => ({
		vm: voter.vm, id: voter.id, address: voter.address, isLearner: voter.isLearner, isLeader: voter.id === node?.leader?.id,
	})),
	revisions: ({machine}) => machine.recent.map(applied => ({
		revision: applied.revision, at: new Date(applied.at).toISOString(), commandId: applied.proposal.commandId, commands: applied.proposal.commands.map(command => command.kind).join(','),
	})),
	quarantines: ({machine}) => [...machine.intent.quarantines.values()].map(({fingerprint, segments, upstreams, judgedAt}) => ({
		fingerprint, kind: segments ? 'segments' : 'request', judgedAt: new Date(judgedAt).toISOString(), crashes: upstreams.length, upstreams: upstreams.join(','),
	})),
	requests: (_voter, leader) => [...leader.fleet.vms.values()].flatMap(({report}) => report.units.map(unit => ({vm: report.vm, unit: unit.unit, inProgress: unit.inProgress}))),
};

/**
 * Returns all rows of a listing, with the intended state next to the actual state.
 * @throws ValeleadError with NotFound if there is no such listing.
 */
export const newListing = (voter: Voter, leader: Leader, name: string): Row[] => {
	const listing = LISTINGS[name];
	if (!listing) {
		throw new ValeleadError(`there is no listing ${name}`, {code: RESULT_CODE.NotFound});
	}

	return listing(voter, leader);
};
