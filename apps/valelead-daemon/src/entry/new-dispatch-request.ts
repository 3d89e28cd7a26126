import {create} from '@bufbuild/protobuf';
import type {AdmissionEffect} from '@valelead/admission';
import {type DispatchRequest, DispatchRequestSchema} from '@valelead/protocol';
import type {Exchange} from './exchange.js';

type Dispatch = Extract<AdmissionEffect, {kind: 'dispatch'}>;

/** Creates the message that dispatches a request to an agent. The priority is the weight of the request class. */
export const newDispatchRequest = ({request, requestId}: Exchange, dispatch: Dispatch, priority: number): DispatchRequest => create(DispatchRequestSchema, {
	requestId,
	attemptId: dispatch.attemptId,
	creditId: dispatch.creditId,
	team: request.team,
	unit: request.unit,
	service: request.service,
	remainingMs: dispatch.remainingMs,
	priority,
	method: request.method,
	path: request.path,
	contentType: request.contentType,
	body: request.body,
	isStream: request.isStream,
	isRepeatable: request.isRepeatable,
});
