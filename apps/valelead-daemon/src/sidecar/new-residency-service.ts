import {randomUUID} from 'node:crypto';
import type {DemandReport, EngineReport} from '@valelead/protocol';
import type {ServerDuplexStream, UntypedServiceImplementation} from '@grpc/grpc-js';
import type {EngineManager} from './engine-manager.js';
import type {EngineSummary} from './engine-summary.js';
import {ReportEncoder} from './report-encoder.js';

type FollowStream = ServerDuplexStream<DemandReport, EngineReport>;

/** Connects a gateway's stream to an engine manager until the stream ends or the manager stops. */
const serve = (stream: FollowStream, manager: EngineManager, encoder: ReportEncoder, first: DemandReport): void => {
	// A gateway that reconnects may open a new stream before its old stream ends, so the gateway alone does not identify a stream.
	const streamId = randomUUID();
	let sentCopies = '';
	const send = (summary: EngineSummary): void => {
		const {copies, report} = encoder.encode(summary, sentCopies);
		sentCopies = copies;
		stream.write(report);
	};

	const unsubscribe = manager.subscribe(send);
	const end = (): void => {
		unsubscribe();
		removeStopListener();
		manager.removeStream(streamId);
		stream.end();
	};

	const removeStopListener = manager.onStop(end);
	stream.on('data', (report: DemandReport) => {
		manager.setNeeds(streamId, report.needs, report);
		manager.addSpeedSamples(report.speed);
	});
	stream.on('end', end);
	stream.on('error', end);
	stream.on('cancelled', end);
	manager.setNeeds(streamId, first.needs, first);
	manager.addSpeedSamples(first.speed);
	const {summary} = manager;
	if (summary) {
		send(summary);
	}
};

/**
 * Implements the gRPC service through which gateways report their needs for an engine and receive its summaries.
 * @param getManager - Returns the manager of the engine at an address; undefined if this process does not manage that engine.
 */
export const newResidencyService = (getManager: (engineAddress: string) => EngineManager | undefined): UntypedServiceImplementation => {
	const encoder = new ReportEncoder();
	return {
		follow(stream: FollowStream) {
			stream.on('error', () => {
				stream.end();
			});
			stream.once('data', (first: DemandReport) => {
				const manager = getManager(first.engineAddress);
				if (manager) {
					serve(stream, manager, encoder, first);
				} else {
					stream.end();
				}
			});
		},
	};
};
