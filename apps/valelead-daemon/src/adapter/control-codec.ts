import type {Run, Upstream} from '@valelead/discovery';
import type {Routing} from '@valelead/routing';
import type {ControlCall} from './control-call.js';

/** Decodes control calls of the platform's operators and upstreams. A decoder throws a ValeleadError that names the fault if its input is invalid. */
export type ControlCodec = {
	readonly decodeCall: (method: string, url: string) => ControlCall;
	readonly decodeRouting: (document: string) => Routing;
	readonly decodeAnnouncement: (instanceId: string, body: string) => Upstream;
	readonly decodeDeparture: (instanceId: string, body: string) => Run;
	/** @param address - The address to which the upstream should send its next announcements. */
	readonly newAnnouncementReply: (address: string) => string;
};
