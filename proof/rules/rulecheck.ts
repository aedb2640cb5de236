import {type RelaySettings} from '../../src/relay/index.js';
import {type Mesh} from '../../standins/mesh.js';
import {createAttemptHeaders} from '../../standins/meshadapter.js';
import {type MeshAnswer, call} from '../../standins/meshtarget.js';

/** Restores what a sabotage replaced. */
export type Undo = () => void;

/** Checks one rule of the platform from outside, on a mesh of daemons with real sockets. */
export type RuleCheck = {
	readonly rule: string;
	/** Settings of the mesh's daemons that differ from the defaults. */
	readonly settings?: Partial<RelaySettings>;
	/** @returns the violations of the rule; empty if it holds */
	readonly run: (mesh: Mesh) => Promise<string[]>;
	/** Disables the mechanism that enforces the rule, so that `run` must report a violation. */
	readonly sabotage: {readonly title: string; readonly apply: () => Undo};
};

/** Replaces a method of a class until the returned function is called. */
export function replaceMethod<Class extends object, Name extends keyof Class>(prototype: Class, name: Name, method: Class[Name]): Undo {
	const original = prototype[name];
	prototype[name] = method;
	return () => {
		prototype[name] = original;
	};
}

/** Sends a request to a daemon with the headers of one client attempt. */
export async function sendAttempt(port: number, path: string, id: string, options: {method?: string; deadlineMs?: number; headers?: Record<string, string>; signal?: AbortSignal} = {}): Promise<MeshAnswer> {
	const {method, deadlineMs = 2000, headers, signal} = options;
	return call(port, path, {method, signal, headers: {...headers, ...createAttemptHeaders(id, deadlineMs)}});
}

/** Returns the message as the only violation if the condition is true. */
export function violationIf(isViolation: boolean, message: string): string[] {
	return isViolation ? [message] : [];
}
