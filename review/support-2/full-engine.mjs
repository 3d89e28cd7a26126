import {Engine} from './engine.mjs';

const newRejection = requestId => `HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Request-Id: ${requestId}\r\nContent-Length: 0\r\n\r\n`;

/**
 * An engine that rejects requests while its slots are taken, and sends a share of its answers a second time: late, on the same connection, in the place of the
 * next answer that is expected there.
 */
export class FullEngine extends Engine {
	answers = 0;
	rejections = 0;
	/** Rejections that were sent a second time: the request that they answer, and the one that was running on the connection. */
	surpluses = [];
	#active = 0;
	#slots;
	#surplusShare;
	#workMs;
	#owed = new WeakMap();
	/** Answers before the present time of faults, and the second answers that have been put in hand in it. */
	#answersBefore = 0;
	#owedCount = 0;

	constructor({slots, surplusShare, ...options}) {
		super(options);
		this.#slots = slots;
		this.#surplusShare = surplusShare;
		this.#workMs = options.workMs;
	}

	/** From now on, this share of its answers is sent a second time. */
	beginGarble(share) {
		this.#surplusShare = share;
		this.#answersBefore = this.answers;
		this.#owedCount = 0;
	}

	endGarble() {
		this.#surplusShare = 0;
		this.#owed = new WeakMap();
	}

	handle(message, response, requestId) {
		const {socket} = message;
		this.answers += 1;
		if (this.#active >= this.#slots) {
			this.rejections += 1;
			if (this.#owedCount < Math.floor(this.#surplusShare * (this.answers - this.#answersBefore))) {
				this.#owedCount += 1;
				this.#owed.set(socket, requestId);
			}

			response.writeHead(503, {'x-not-executed': '1', 'x-request-id': requestId, 'content-length': 0});
			response.end();
			return;
		}

		this.#active += 1;
		setTimeout(() => {
			this.#active -= 1;
		}, this.#workMs);
		const owed = this.#owed.get(socket);
		if (owed !== undefined) {
			this.#owed.delete(socket);
			this.surpluses.push({of: owed, during: requestId, at: Date.now()});
			socket.write(newRejection(owed));
		}

		super.handle(message, response, requestId);
	}
}
