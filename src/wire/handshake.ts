import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {Buffer} from 'node:buffer';

const NONCE_BYTES = 16;
const MAX_TEXT = 512;

/** A peer that doesn't prove that it holds the site key. */
export class HandshakeError extends Error {
	override readonly name = 'HandshakeError';
}

/** Which end of the connection one is. */
export type HandshakeRole = 'dialer' | 'listener';

/**
 * One end of the mutual proof that both daemons hold the site key. Each side
 * sends its name and a nonce, then an HMAC over both nonces and its own role.
 */
export class Handshake {
	readonly #siteKey: string;
	readonly #role: HandshakeRole;
	readonly #id: string;
	readonly #nonce = randomBytes(NONCE_BYTES).toString('hex');
	#peer: {id: string; nonce: string} | undefined;
	#proven = false;

	constructor(siteKey: string, role: HandshakeRole, id: string) {
		this.#siteKey = siteKey;
		this.#role = role;
		this.#id = id;
	}

	/** The peer's id once it has proved itself. */
	get peerId(): string | undefined {
		return this.#proven ? this.#peer?.id : undefined;
	}

	buildHello(): string {
		return JSON.stringify({id: this.#id, nonce: this.#nonce});
	}

	/**
	 * Takes a message of the peer and returns what to send back, if anything.
	 * @throws {HandshakeError} when the message is no valid step
	 */
	handleMessage(text: string): string | undefined {
		const message = parse(text);
		if (this.#peer === undefined) {
			const {id, nonce} = message;
			if (typeof id !== 'string' || typeof nonce !== 'string' || id.length === 0 || nonce.length !== NONCE_BYTES * 2) {
				throw new HandshakeError('hello: id or nonce is not valid');
			}

			this.#peer = {id, nonce};
			return JSON.stringify({proof: this.#proof(this.#role, this.#id, this.#nonce, nonce)});
		}

		const {proof} = message;
		const other = this.#role === 'dialer' ? 'listener' : 'dialer';
		const expected = this.#proof(other, this.#peer.id, this.#peer.nonce, this.#nonce);
		if (typeof proof !== 'string' || !equal(proof, expected)) {
			throw new HandshakeError('proof: the site key differs');
		}

		this.#proven = true;
		return undefined;
	}

	#proof(role: HandshakeRole, id: string, nonce: string, otherNonce: string): string {
		return createHmac('sha256', this.#siteKey).update(JSON.stringify([role, id, nonce, otherNonce])).digest('hex');
	}
}

function parse(text: string): Record<string, unknown> {
	if (text.length > MAX_TEXT) {
		throw new HandshakeError('message: too long');
	}

	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		throw new HandshakeError('message: not JSON', {cause: error});
	}

	if (typeof value !== 'object' || value === null) {
		throw new HandshakeError('message: not a JSON object');
	}

	return value as Record<string, unknown>;
}

function equal(a: string, b: string): boolean {
	const left = Buffer.from(a);
	const right = Buffer.from(b);
	return left.length === right.length && timingSafeEqual(left, right);
}
