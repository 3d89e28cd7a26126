import {once} from 'node:events';
import {createServer, type Server, type ServerResponse} from 'node:http';
import type {Metrics} from './metrics/metrics.js';

type AdminParts = {
	readonly host: string;
	readonly port: number;
	readonly metrics: Metrics;
	/** Returns the reason why the process accepts no new work, or undefined if it accepts work. */
	readonly getUnreadyReason: () => string | undefined;
	readonly refreshMetrics: () => void;
};

const respond = (response: ServerResponse, status: number, text: string): void => {
	response.writeHead(status, {'content-type': 'text/plain; charset=utf-8'});
	response.end(text);
};

const writeMetrics = async (metrics: Metrics, response: ServerResponse): Promise<void> => {
	respond(response, 200, await metrics.registry.metrics());
};

/** Serves health, readiness and metrics to the platform, on a port separate from the one that callers use. */
export const startAdminServer = async (parts: AdminParts): Promise<Server> => {
	const server = createServer((request, response) => {
		if (request.url === '/metrics') {
			parts.refreshMetrics();
			void writeMetrics(parts.metrics, response);
			return;
		}

		if (request.url === '/healthz') {
			respond(response, 200, 'ok\n');
			return;
		}

		const reason = request.url === '/readyz' ? parts.getUnreadyReason() : 'no such path';
		respond(response, reason === undefined ? 200 : 503, `${reason ?? 'ok'}\n`);
	});
	server.listen(parts.port, parts.host);
	await once(server, 'listening');
	return server;
};
