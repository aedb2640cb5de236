import {type Frame} from './frame.js';
import {type Link} from './link.js';

/** Receives the events of a link that belong to none of its calls. */
export abstract class LinkEvents {
	abstract onOpen(link: Link): void;
	/** Handles a frame that belongs to no call. */
	abstract onFrame(link: Link, frame: Frame): void;
	/** Called when the peer owes a sign of life, and again at intervals while it does, then with `isNew` false. */
	abstract onStalled(link: Link, isNew: boolean): void;
	/** Called when the peer of a stalled link is heard again. */
	abstract onResumed(link: Link): void;
	abstract onClosed(link: Link, reason: string): void;
	/** Called in place of `onClosed` when a silent link takes nothing more, but stays open for the calls that no other host may run. */
	abstract onDetached(link: Link): void;
}
