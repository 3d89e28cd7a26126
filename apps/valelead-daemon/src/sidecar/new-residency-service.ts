import {randomUUID} from 'node:crypto';
import type {DemandReport, EngineReport} from '@valelead/protocol';
import type {ServerDuplexStream, UntypedServiceImplementation} from '@grpc/grpc-js';
import type {EngineKeeper} from './engine-keeper.js';
import type {EngineSummary} from './engine-summary.js';
import {ReportEncoder} from './report-encoder.js';

type FollowStream = ServerDuplexStream<DemandReport, EngineReport>;

/** Connects a gateway's stream to an engine manager until the stream ends or the manager stops. */
const serve = (stream: FollowStream, keeper: EngineKeeper, encoder: ReportEncoder, first: DemandReport): void => {
	// A gateway that reconnects may open a new stream before its old stream ends, so the gateway alone does not identify a stream.
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
		forgetStop();
		keeper.forgetStream(streamId);
		stream.end();
	};

	const forgetStop = keeper.onStop(end);
	stream.on('data', (report: DemandReport) => {
		keeper.setNeeds(streamId, report.needs);
	});
	stream.on('end', end);
	stream.on('error', end);
	stream.on('cancelled', end);
	keeper.setNeeds(streamId, first.needs);
	const {summary} = keeper;
	if (summary) {
		send(summary);
	}
};

/**
 * Implements the gRPC service through which gateways report their needs for an engine and receive its summaries.
 * @param getKeeper - Returns the manager of the engine at an address; undefined if this process does not manage that engine.
 */
export const newResidencyService = (getKeeper: (engineAddress: string) => EngineKeeper | undefined): UntypedServiceImplementation => {
	const encoder = new ReportEncoder();
	return {
		follow(stream: FollowStream) {
			stream.on('error', () => {
				stream.end();
			});
			stream.once('data', (first: DemandReport) => {
				const keeper = getKeeper(first.engineAddress);
				if (keeper) {
					serve(stream, keeper, encoder, first);
				} else {
					stream.end();
				}
			});
		},
	};
};
