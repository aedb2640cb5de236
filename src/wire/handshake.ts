import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {Buffer} from 'node:buffer';

const NONCE_BYTES = 16;
const MAX_MESSAGE_LENGTH = 512;

/** Reports a peer that fails to prove that it holds the site key. */
export class HandshakeError extends Error {
	override readonly name = 'HandshakeError';
}

/** Which end of the connection a daemon is. The proof covers the role, so that a proof can't be reflected to its sender. */
export type HandshakeRole = 'dialer' | 'listener';

/**
 * One end of the mutual authentication by the shared site key. Each side sends
 * its id and a nonce, then an HMAC-SHA256 over its role, its id and both nonces.
 */
export class Handshake {
	readonly #siteKey: string;
	readonly #role: HandshakeRole;
	readonly #id: string;
	readonly #nonce = randomBytes(NONCE_BYTES).toString('hex');
	#peer: {id: string; nonce: string} | undefined;
	#isProven = false;

	constructor(siteKey: string, role: HandshakeRole, id: string) {
		this.#siteKey = siteKey;
		this.#role = role;
		this.#id = id;
	}

	/** The peer's id, or undefined until the peer is authenticated. */
	get peerId(): string | undefined {
		return this.#isProven ? this.#peer?.id : undefined;
	}

	buildHello(): string {
		return JSON.stringify({id: this.#id, nonce: this.#nonce});
	}

	/**
	 * Handles a message from the peer and returns the reply to send, if any.
	 * @throws {HandshakeError} if the message is invalid at this step
	 */
	handleMessage(text: string): string | undefined {
		const message = parseMessage(text);
		if (this.#peer === undefined) {
			const {id, nonce} = message;
			if (typeof id !== 'string' || typeof nonce !== 'string' || id.length === 0 || nonce.length !== NONCE_BYTES * 2) {
				throw new HandshakeError('hello: id must be a non-empty string, nonce a string of the fixed length');
			}

			this.#peer = {id, nonce};
			return JSON.stringify({proof: this.#computeProof(this.#role, this.#id, this.#nonce, nonce)});
		}

		const {proof} = message;
		const peerRole = this.#role === 'dialer' ? 'listener' : 'dialer';
		const expected = this.#computeProof(peerRole, this.#peer.id, this.#peer.nonce, this.#nonce);
		if (typeof proof !== 'string' || !isEqualInConstantTime(proof, expected)) {
			throw new HandshakeError('proof: does not match; the peer\'s site key differs');
		}

		this.#isProven = true;
		return undefined;
	}

	#computeProof(role: HandshakeRole, id: string, nonce: string, otherNonce: string): string {
		return createHmac('sha256', this.#siteKey).update(JSON.stringify([role, id, nonce, otherNonce])).digest('hex');
	}
}

function parseMessage(text: string): Record<string, unknown> {
	if (text.length > MAX_MESSAGE_LENGTH) {
		throw new HandshakeError('message: too long');
	}

	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		throw new HandshakeError('message: must be JSON', {cause: error});
	}

	if (typeof value !== 'object' || value === null) {
		throw new HandshakeError('message: must be a JSON object');
	}

	return value as Record<string, unknown>;
}

function isEqualInConstantTime(a: string, b: string): boolean {
	const left = Buffer.from(a);
	const right = Buffer.from(b);
	return left.length === right.length && timingSafeEqual(left, right);
}
