/** Messages between an entry and the dispatchers of its services. */
export type DispatchMessages = Record<never, never>;
