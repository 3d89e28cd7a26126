import type {ConsensusMessage} from './consensus-message.js';
import type {MessageTarget} from './message-target.js';

/** Sends messages to other voters. Delivery is not guaranteed. */
export type ConsensusTransport = {
	readonly send: (from: string, to: MessageTarget, message: ConsensusMessage) => void;
};
