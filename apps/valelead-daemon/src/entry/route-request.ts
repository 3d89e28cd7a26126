import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import {RESULT_CODE, ValeleadError} from '@valelead/common';
import {getServiceTarget} from '@valelead/admission';
import {
	type Intent, type Team, getUnit, getUnitKey, hasAccess,
} from '@valelead/intent';
import type {RoutedRequest} from './routed-request.js';

type ReceivedRequest = {
	readonly method: string;
	/** The path and query of the URL. */
	readonly path: string;
	readonly headers: IncomingHttpHeaders;
	readonly body: Buffer;
};

type ModelBody = {
	readonly model?: unknown;
	readonly stream?: unknown;
};

const MODEL_PATHS: ReadonlySet<string> = new Set(['/v1/chat/completions', '/v1/completions']);

const SERVICE_PATTERN = /^\/services\/(?<service>[^\/?]+)(?<rest>.*)$/v;

const MAX_KEY_LENGTH = 255;

const getHeader = (headers: IncomingHttpHeaders, name: string): string => {
	const value = headers[name];
	return typeof value === 'string' ? value : '';
};

const getClassName = (intent: Intent, team: Team, headers: IncomingHttpHeaders, declared: string): string => {
	const chosen = getHeader(headers, 'x-request-class');
	if (chosen === '' || chosen === declared) {
		return declared;
	}

	if (!intent.classes.has(chosen) || !team.classes.includes(chosen)) {
		throw new ValeleadError(`Class ${chosen} is not allowed to the team`, {code: RESULT_CODE.ClassNotAllowed});
	}

	return chosen;
};

const parseModelBody = (body: Buffer): ModelBody => {
	try {
		const parsed: unknown = JSON.parse(body.toString('utf8'));
		if (typeof parsed === 'object' && parsed !== null) {
			return parsed;
		}
	} catch {
		// Invalid JSON is reported by the error below.
	}

	throw new ValeleadError('The body is not a JSON object', {code: RESULT_CODE.MalformedRequest});
};

const getIdempotencyKey = (headers: IncomingHttpHeaders): string => {
	const key = getHeader(headers, 'idempotency-key');
	if (key.length > MAX_KEY_LENGTH) {
		throw new ValeleadError(`Idempotency-Key has more than ${MAX_KEY_LENGTH} characters`, {code: RESULT_CODE.MalformedRequest});
	}

	return key;
};

const routeModel = (intent: Intent, team: Team, received: ReceivedRequest): RoutedRequest => {
	const parsed = parseModelBody(received.body);
	if (typeof parsed.model !== 'string') {
		throw new ValeleadError('The body has no model', {code: RESULT_CODE.MalformedRequest});
	}

	const key = getUnitKey(intent, parsed.model);
	const unit = key === undefined ? undefined : getUnit(intent, key);
	if (!unit || !hasAccess(unit, team.name)) {
		throw new ValeleadError(`There is no model ${parsed.model}`, {code: RESULT_CODE.UnknownModel});
	}

	if (unit.isStopped) {
		throw new ValeleadError(`Model ${parsed.model} is stopped`, {code: RESULT_CODE.ModelStopped});
	}

	return {
		team: team.name,
		teamWeight: team.weight,
		className: getClassName(intent, team, received.headers, unit.class),
		target: unit.key,
		unit: unit.key,
		service: '',
		method: received.method,
		path: received.path,
		contentType: 'application/json',
		body: Buffer.from(JSON.stringify({...parsed, model: unit.key})),
		isStream: parsed.stream === true,
		isRepeatable: true,
		idempotencyKey: '',
	};
};

const routeService = (intent: Intent, team: Team, received: ReceivedRequest, name: string, rest: string): RoutedRequest => {
	const service = intent.services.get(name);
	if (!service || !hasAccess(service, team.name)) {
		throw new ValeleadError(`There is no service ${name}`, {code: RESULT_CODE.UnknownService});
	}

	if (service.isStopped) {
		throw new ValeleadError(`Service ${name} is stopped`, {code: RESULT_CODE.ModelStopped});
	}

	return {
		team: team.name,
		teamWeight: team.weight,
		className: getClassName(intent, team, received.headers, service.class),
		target: getServiceTarget(name),
		unit: '',
		service: name,
		method: received.method,
		path: rest === '' ? '/' : rest,
		contentType: getHeader(received.headers, 'content-type'),
		body: received.body,
		isStream: false,
		isRepeatable: service.isRepeatable,
		idempotencyKey: service.isRepeatable ? '' : getIdempotencyKey(received.headers),
	};
};

/** Resolves the model or service that a request addresses. Throws a ValeleadError if it does not exist, is stopped or is not allowed to the team. */
export const routeRequest = (intent: Intent, team: Team, received: ReceivedRequest): RoutedRequest => {
	if (team.isStopped) {
		throw new ValeleadError('The team is stopped', {code: RESULT_CODE.ModelStopped});
	}

	if (received.method === 'POST' && MODEL_PATHS.has(received.path)) {
		return routeModel(intent, team, received);
	}

	const groups = SERVICE_PATTERN.exec(received.path)?.groups;
	if (groups) {
		return routeService(intent, team, received, groups.service, groups.rest);
	}

	throw new ValeleadError(`There is no interface ${received.method} ${received.path}`, {code: RESULT_CODE.UnknownPath});
};
