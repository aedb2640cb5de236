import {type Mesh} from '../../standins/mesh.js';
import {createAttemptHeaders} from '../../standins/meshadapter.js';
import {type MeshAnswer, call} from '../../standins/meshtarget.js';

/** Puts back what was taken out. */
export type Undo = () => void;

/** One rule of the platform, seen from outside on a mesh of daemons with real sockets. */
export type RuleCheck = {
	readonly rule: string;
	/** @returns what broke the rule; empty if it was kept */
	readonly run: (mesh: Mesh) => Promise<string[]>;
	/** Takes the mechanism out that keeps the rule. */
	readonly sabotage: {readonly title: string; readonly apply: () => Undo};
};

/** Replaces a method of a class until it is undone. */
export function replaceMethod<Thing extends object, Name extends keyof Thing>(prototype: Thing, name: Name, method: Thing[Name]): Undo {
	const kept = prototype[name];
	prototype[name] = method;
	return () => {
		prototype[name] = kept;
	};
}

/** Sends one client attempt. */
export async function sendAttempt(port: number, path: string, id: string, options: {method?: string; deadlineMs?: number; headers?: Record<string, string>; signal?: AbortSignal} = {}): Promise<MeshAnswer> {
	const {method, deadlineMs = 2000, headers, signal} = options;
	return call(port, path, {method, signal, headers: {...headers, ...createAttemptHeaders(id, deadlineMs)}});
}

/** A violation, if it is one. */
export function violationIf(isBroken: boolean, text: string): string[] {
	return isBroken ? [text] : [];
}
