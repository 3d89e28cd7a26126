import {randomUUID} from 'node:crypto';
import type {DemandReport, EngineReport} from '@valelead/protocol';
import type {ServerDuplexStream, UntypedServiceImplementation} from '@grpc/grpc-js';
import type {EngineKeeper} from './engine-keeper.js';
import type {EngineSummary} from './engine-summary.js';
import {ReportEncoder} from './report-encoder.js';

/** Serves the gateways that need the engine. */
export const newResidencyService = (keeper: EngineKeeper): UntypedServiceImplementation => {
	const encoder = new ReportEncoder();
	return {
		follow(stream: ServerDuplexStream<DemandReport, EngineReport>) {
			// A gateway that comes back may open its new stream before the old one ends.
			const streamId = randomUUID();
			let sentCopies = '';
			const send = (summary: EngineSummary): void => {
				const {copies, report} = encoder.encode(summary, sentCopies);
				sentCopies = copies;
				stream.write(report);
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
			const {summary} = keeper;
			if (summary) {
				send(summary);
			}
		},
	};
};
