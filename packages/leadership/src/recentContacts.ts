/**
 * Remembers the latest dispatchers: when each was last in contact with this instance, on the clock of
 * this instance and on that of the dispatcher, and how many jobs it left without an answer.
 */

/** A job outlives few changes of dispatcher. */
const MAX_DISPATCHERS = 8;

export interface RecentContacts {
  /**
   * Records that a dispatcher answered a heartbeat that was sent at a time, and the time of the answer
   * on the dispatcher's clock, if the answer tells it.
   */
  record(incarnation: string, sentMs: number, dispatcherClockMs?: number): void;
  /** Returns the time of the newest such heartbeat; undefined if there is none. */
  lastMs(incarnation: string): number | undefined;
  /** Returns the newest time on a dispatcher's clock that it has told; undefined if there is none. */
  heardMs(incarnation: string): number | undefined;
  /**
   * Forgets that time, because a dispatcher begins anew: it is old, and messages with it would count as
   * old too.
   */
  forgetHeard(incarnation: string): void;
  /** Records that this instance no longer waits for the dispatcher's answer to a job. */
  recordUnanswered(incarnation: string): void;
  /** Returns the number of such jobs. */
  unanswered(incarnation: string): number;
}

interface Contact {
  readonly sentMs: number | undefined;
  readonly heardMs: number | undefined;
  readonly unanswered: number;
}

const NO_CONTACT: Contact = { sentMs: undefined, heardMs: undefined, unanswered: 0 };

export function createRecentContacts(): RecentContacts {
  /** The dispatcher with the oldest change first. */
  const contacts = new Map<string, Contact>();

  function update(incarnation: string, change: (known: Contact) => Contact): void {
    const known = contacts.get(incarnation) ?? NO_CONTACT;
    contacts.delete(incarnation);
    contacts.set(incarnation, change(known));
    const [oldest] = contacts.keys();
    if (contacts.size > MAX_DISPATCHERS && oldest !== undefined) contacts.delete(oldest);
  }

  return {
    record(incarnation, sentMs, dispatcherClockMs) {
      // Replies can overtake each other.
      update(incarnation, (known) => ({
        ...known,
        sentMs: maxOf(sentMs, known.sentMs),
        heardMs: maxOf(dispatcherClockMs, known.heardMs),
      }));
    },
    lastMs: (incarnation) => contacts.get(incarnation)?.sentMs,
    heardMs: (incarnation) => contacts.get(incarnation)?.heardMs,
    forgetHeard(incarnation) {
      if (contacts.has(incarnation))
        update(incarnation, (known) => ({ ...known, heardMs: undefined }));
    },
    recordUnanswered(incarnation) {
      update(incarnation, (known) => ({ ...known, unanswered: known.unanswered + 1 }));
    },
    unanswered: (incarnation) => contacts.get(incarnation)?.unanswered ?? 0,
  };
}

function maxOf(left: number | undefined, right: number | undefined): number | undefined {
  if (left === undefined || right === undefined) return left ?? right;
  return Math.max(left, right);
}
