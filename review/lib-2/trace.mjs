/** Where the clients and upstreams of a case tell what they send, are answered and run; `runCase` writes it down. */
export const trace = {note: () => undefined};
