import {randomUUID} from 'node:crypto';
import {create} from '@bufbuild/protobuf';
import {type DemandReport, type EngineReport, EngineReportSchema} from '@valelead/protocol';
import type {ServerDuplexStream, UntypedServiceImplementation} from '@grpc/grpc-js';
import type {EngineKeeper} from './engine-keeper.js';

/** Serves the gateways that need the engine. */
export const newResidencyService = (keeper: EngineKeeper): UntypedServiceImplementation => ({
	follow(stream: ServerDuplexStream<DemandReport, EngineReport>) {
		// A gateway that comes back may open its new stream before the old one ends.
		const streamId = randomUUID();
		let sentCopies = '';
		const send = (): void => {
			const {summary} = keeper;
			if (!summary) {
				return;
			}

			const copies = JSON.stringify([summary.copiesInMemory, summary.copiesOnDisk]);
			const areCopiesUnchanged = copies === sentCopies;
			sentCopies = copies;
			stream.write(create(EngineReportSchema, {
				...summary, areCopiesUnchanged, ...(areCopiesUnchanged && {copiesInMemory: [], copiesOnDisk: []}),
			} as never));
		};

		const unsubscribe = keeper.subscribe(send);
		const end = (): void => {
			unsubscribe();
			keeper.forgetStream(streamId);
			stream.end();
		};

		stream.on('data', (report: DemandReport) => {
			keeper.setNeeds(streamId, report.needs);
		});
		stream.on('end', end);
		stream.on('error', end);
		stream.on('cancelled', end);
		send();
	},
});
