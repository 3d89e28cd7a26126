import type {Run, Upstream} from '@valelead/discovery';
import type {Routing} from '@valelead/routing';
import type {ControlCall} from './control-call.js';

/** How the platform's operators and upstreams write their calls. Decoding throws a ValeleadError with what is wrong. */
export type ControlCodec = {
	readonly decodeCall: (method: string, url: string) => ControlCall;
	readonly decodeRouting: (document: string) => Routing;
	readonly decodeAnnouncement: (instanceId: string, body: string) => Upstream;
	readonly decodeDeparture: (instanceId: string, body: string) => Run;
	/** @param address - Where the upstream should announce itself from now on. */
	readonly newAnnouncementReply: (address: string) => string;
};
