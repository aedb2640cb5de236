/** A status line, at the end of what came before it on the connection. */
const STATUS_LINE_END = /HTTP\/1\.[01] \d{3}(?: .*)?$/v;

/**
 * Tells whether a text of an answer's head, its reason phrase or a header's value, ends in a status line. A target that broke off in the
 * middle of a surplus answer leaves such a text on a connection that is used again: its parser reads one head where there are two.
 */
export function endsInStatusLine(text: string): boolean {
	return text.includes('HTTP/1.') && STATUS_LINE_END.test(text);
}
