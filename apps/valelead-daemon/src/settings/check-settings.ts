import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import * as SchemaIssue from 'effect/SchemaIssue';
import {SETTINGS_SCHEMA} from './settings-schema.js';
import type {Settings} from './settings.js';
import type {SettingsFault} from './settings-fault.js';

type SettingsCheck = {
	readonly settings: Settings | undefined;
	readonly faults: readonly SettingsFault[];
};

const decode = Schema.decodeUnknownResult(SETTINGS_SCHEMA);
const formatIssue = SchemaIssue.makeFormatterStandardSchemaV1();

const getValueText = (value: unknown, path: readonly PropertyKey[]): string => {
	let found: unknown = value;
	for (const key of path) {
		found = typeof found === 'object' && found !== null ? (found as Record<PropertyKey, unknown>)[key] : undefined;
	}

	return found === undefined ? 'nothing' : JSON.stringify(found);
};

const toKeys = (path: ReadonlyArray<PropertyKey | {readonly key: PropertyKey}> | undefined): PropertyKey[] => (path ?? []).map(part => typeof part === 'object' ? part.key : part);

const newFault = (path: string, found: string, allowed: string): SettingsFault => ({path, found, allowed});

/** Returns violations of conditions between several values, which the schema cannot express. */
const getCrossFieldFaults = (settings: Settings): SettingsFault[] => {
	if (settings.role !== 'entry' || !settings.voter) {
		return [];
	}

	const {voter} = settings;
	const faults: SettingsFault[] = [];
	if (!settings.controlAddresses.includes(voter.listen)) {
		faults.push(newFault('voter.listen', JSON.stringify(voter.listen), 'one of controlAddresses'));
	}

	if (voter.consensusHeartbeatMs * 3 > voter.electionTimeoutMs) {
		faults.push(newFault('voter.consensusHeartbeatMs', String(voter.consensusHeartbeatMs), 'at most a third of voter.electionTimeoutMs'));
	}

	if (voter.assumeLostMs > 0 && voter.assumeLostMs <= settings.maxConfigurationAgeMs) {
		faults.push(newFault('voter.assumeLostMs', String(voter.assumeLostMs), '0, or more than maxConfigurationAgeMs and the replicaLeaseMs of every agent'));
	}

	return faults;
};

const ROLES = ['entry', 'agent', 'gateway', 'sidecar', 'controller'];

/** Checks the role first, because it selects the schema for all other settings. */
const getRoleFault = (value: unknown): SettingsFault | undefined => {
	const found = getValueText(value, ['role']);
	const isKnown = ROLES.some(role => JSON.stringify(role) === found);
	return isKnown ? undefined : newFault('role', found, ROLES.map(role => JSON.stringify(role)).join(' | '));
};

/** Checks the parsed value of a settings file and returns the settings or all faults. */
export const checkSettings = (value: unknown): SettingsCheck => {
	const roleFault = getRoleFault(value);
	if (roleFault) {
		return {settings: undefined, faults: [roleFault]};
	}

	const result = decode(value, {errors: 'all', onExcessProperty: 'error'});
	if (Result.isSuccess(result)) {
		const faults = getCrossFieldFaults(result.success);
		return {settings: faults.length === 0 ? result.success : undefined, faults};
	}

	const faults = formatIssue(result.failure.issue).issues.map(issue => {
		const path = toKeys(issue.path);
		return newFault(path.map(String).join('.'), getValueText(value, path), issue.message);
	});
	return {settings: undefined, faults};
};
