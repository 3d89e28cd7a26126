import {Buffer} from 'node:buffer';
import {create} from '@bufbuild/protobuf';
import type {Clock} from '@valelead/common';
import {
	type LookUpReply,
	type LookUpRequest,
	type RecordReply,
	type SoleVersionReply,
	type SoleVersionRequest,
	type StreamOriginBatch,
	LookUpReplySchema,
	RecordReplySchema,
	SoleVersionReplySchema,
} from '@valelead/protocol';
import type {
	sendUnaryData, ServerDuplexStream, ServerUnaryCall, UntypedServiceImplementation,
} from '@grpc/grpc-js';
import type {RouteServices} from '../control/route-services.js';
import type {SoftwareVersions} from '../control/software-versions.js';
import {decodeOrigin} from './decode-origin.js';
import {encodeOrigin} from './encode-origin.js';
import type {OriginStore} from './origin-store.js';

type ServiceParts = {
	readonly store: Pick<OriginStore, 'record' | 'get'>;
	readonly versions: Pick<SoftwareVersions, 'getSole'>;
	readonly routes: Pick<RouteServices, 'isSole'>;
	readonly clock: Clock;
};

/** Creates the gRPC service through which gateways store and look up the origins of streams. */
export const newOriginService = ({store, versions, routes, clock}: ServiceParts): UntypedServiceImplementation => ({
	record(stream: ServerDuplexStream<StreamOriginBatch, RecordReply>) {
		stream.once('data', () => {
			// Tells the gateway that the connection works.
			stream.write(create(RecordReplySchema));
		});
		stream.on('data', ({origins}: StreamOriginBatch) => {
			for (const origin of origins) {
				store.record(decodeOrigin(origin, clock.now()));
			}
		});
		const end = (): void => {
			stream.end();
		};

		stream.on('end', end);
		stream.on('error', end);
	},
	lookUp({request}: ServerUnaryCall<LookUpRequest, LookUpReply>, reply: sendUnaryData<LookUpReply>) {
		const origin = store.get(Buffer.from(request.key).toString('hex'));
		reply(null, create(LookUpReplySchema, origin && {origin: encodeOrigin(origin, clock.now())}));
	},
	getSoleVersion({request}: ServerUnaryCall<SoleVersionRequest, SoleVersionReply>, reply: sendUnaryData<SoleVersionReply>) {
		const {route, service} = request;
		const softwareVersion = routes.isSole(route, service) === false ? '' : versions.getSole(service);
		reply(null, create(SoleVersionReplySchema, {isKnown: softwareVersion !== undefined, softwareVersion: softwareVersion ?? ''}));
	},
});
