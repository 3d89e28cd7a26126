import type {IncomingMessage} from 'node:http';

/** The status and headers of an upstream's response. */
export type ResponseHead = Pick<IncomingMessage, 'statusCode' | 'headers' | 'rawHeaders'>;
