import {Buffer} from 'node:buffer';
import {
	type DescMessage, type DescService, type MessageShape, fromBinary, toBinary,
} from '@bufbuild/protobuf';
import type {MethodDefinition, ServiceDefinition, UntypedServiceImplementation} from '@grpc/grpc-js';

/** Caches the serialised form of each message, as the same message may be written to many streams. A message must not change once written. */
const newSharedSerialize = <Desc extends DescMessage>(desc: Desc): (value: MessageShape<Desc>) => Buffer => {
	const serialised = new WeakMap<MessageShape<Desc>, Buffer>();
	return value => {
		const bytes = serialised.get(value) ?? Buffer.from(toBinary(desc, value));
		serialised.set(value, bytes);
		return bytes;
	};
};

const newMethodDefinition = <Input extends DescMessage, Output extends DescMessage>(
	path: string,
	input: Input,
	output: Output,
	kind: string,
): MethodDefinition<MessageShape<Input>, MessageShape<Output>> => ({
	path,
	requestStream: kind === 'client_streaming' || kind === 'bidi_streaming',
	responseStream: kind === 'server_streaming' || kind === 'bidi_streaming',
	requestSerialize: value => Buffer.from(toBinary(input, value)),
	requestDeserialize: bytes => fromBinary(input, bytes),
	responseSerialize: newSharedSerialize(output),
	responseDeserialize: bytes => fromBinary(output, bytes),
});

/** Converts a generated service description into a service definition for grpc-js. */
export const newServiceDefinition = (service: DescService): ServiceDefinition => {
	const definition: Record<string, MethodDefinition<unknown, unknown>> = {};
	for (const method of service.methods) {
		definition[method.localName] = newMethodDefinition(
			`/${service.typeName}/${method.name}`,
			method.input,
			method.output,
			method.methodKind,
		) as MethodDefinition<unknown, unknown>;
	}

	return definition;
};
