/** Remembers when the latest dispatchers were last in contact with this instance. */

/** A job outlives few changes of dispatcher. */
const MAX_DISPATCHERS = 8;

export interface RecentContacts {
  /** Records that a dispatcher answered a heartbeat that was sent at a time. */
  record(incarnation: string, sentMs: number): void;
  /** Returns the time of the newest such heartbeat; undefined if there is none. */
  lastMs(incarnation: string): number | undefined;
}

export function createRecentContacts(): RecentContacts {
  /** The dispatcher with the oldest contact first. */
  const contacts = new Map<string, number>();

  return {
    record(incarnation, sentMs) {
      contacts.delete(incarnation);
      contacts.set(incarnation, sentMs);
      const [oldest] = contacts.keys();
      if (contacts.size > MAX_DISPATCHERS && oldest !== undefined) contacts.delete(oldest);
    },
    lastMs: (incarnation) => contacts.get(incarnation),
  };
}
