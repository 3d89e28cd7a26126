import type {StreamOrigin} from './stream-origin.js';

/** The fields of an upstream that decide whether it may continue a stream. */
type Continuation = {
	/** The id of the upstream's run. */
	readonly id: string;
	readonly service: string;
	readonly softwareVersion: string;
};

/**
 * True if an upstream may continue a stream that began at `origin`: the outputs of two software versions, or of two services, do not fit together.
 * An unknown version equals no other, so only the run that began the stream may continue it then.
 */
export const canContinue = (origin: StreamOrigin, {id, service, softwareVersion}: Continuation): boolean =>
	service === origin.service && (id === origin.runId || (softwareVersion !== '' && softwareVersion === origin.softwareVersion));
