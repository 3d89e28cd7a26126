import {createHash} from 'node:crypto';
import {type ClientRequest, Agent} from 'node:http';
import type {Socket} from 'node:net';

/** Largest number of idle connections that are kept open to one upstream. */
const MAX_IDLE = 16;

const KEEP_ALIVE_PROBE_MS = 1000;

/** Number of requests of a connection whose ids are remembered. An upstream sends an answer a second time in the place of one of the next ones. */
const MAX_REMEMBERED_IDS = 64;

/** Longer ids are remembered by their hash, as callers may send ids of many kilobytes. In characters. */
const MAX_ID_LENGTH = 64;

const getIdKey = (requestId: string): string => requestId.length > MAX_ID_LENGTH ? createHash('sha256').update(requestId).digest('base64') : requestId;

const destroyOnData = function (this: Socket): void {
	this.destroy();
};

/**
 * HTTP agent with the connections to one upstream. A connection that receives bytes while it is idle is closed: the bytes belong to no request, and
 * would otherwise be read as the response to the next one.
 */
export class UpstreamAgent extends Agent {
	/** Keys of the ids of the latest requests of each connection, oldest first. */
	readonly #requestIds = new WeakMap<Socket, Set<string>>();

	/** @param maxConnections - Largest number of open connections; further requests wait for a free one. */
	constructor(maxConnections: number) {
		super({
			keepAlive: true, keepAliveMsecs: KEEP_ALIVE_PROBE_MS, maxFreeSockets: MAX_IDLE, maxSockets: maxConnections, scheduling: 'lifo', noDelay: true,
		});
	}

	/**
	 * Assigns a connection to a request. Returns false if a request with the same id has used the connection: its answer, sent a second time, could not be
	 * told from the answer to this one.
	 */
	assign(socket: Socket, requestId: string): boolean {
		const key = getIdKey(requestId);
		const ids = this.#requestIds.get(socket) ?? new Set();
		if (ids.has(key)) {
			return false;
		}

		this.#requestIds.set(socket, ids.add(key));
		if (ids.size > MAX_REMEMBERED_IDS) {
			const [oldest] = ids;
			ids.delete(oldest);
		}

		return true;
	}

	override keepSocketAlive(socket: Socket): boolean {
		// Node's own method returns whether the socket may be kept; the published types say that it returns nothing.
		const keepAlive = super.keepSocketAlive.bind(this) as unknown as (socket: Socket) => boolean;
		const isKept = keepAlive(socket);
		if (isKept) {
			socket.on('data', destroyOnData);
		}

		return isKept;
	}

	override reuseSocket(socket: Socket, request: ClientRequest): void {
		socket.off('data', destroyOnData);
		super.reuseSocket(socket, request);
	}
}
