import {randomUUID} from 'node:crypto';
import type {DemandReport, EngineReport} from '@valelead/protocol';
import type {ServerDuplexStream, UntypedServiceImplementation} from '@grpc/grpc-js';
import type {EngineKeeper} from './engine-keeper.js';
import type {EngineSummary} from './engine-summary.js';
import {ReportEncoder} from './report-encoder.js';

type FollowStream = ServerDuplexStream<DemandReport, EngineReport>;

/** Follows a keeper for the gateway at the other end of a stream, until either is gone. */
const serve = (stream: FollowStream, keeper: EngineKeeper, encoder: ReportEncoder, first: DemandReport): void => {
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
 * Serves the gateways that need engines which this process gives orders to.
 * @param getKeeper - The keeper of the engine at an address; undefined where this process gives it no orders.
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
