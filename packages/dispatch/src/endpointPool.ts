/**
 * The endpoints of one dispatcher, each with its controller, kept in sync with the directory.
 *
 * An endpoint that is no longer listed gets no new tasks. Its controller remains until nothing runs
 * there, because the entry of a live endpoint can be missing. What it knows of starts that may still
 * be carried out is kept for the controller of the next incarnation under the same id.
 *
 * Fault pattern: an endpoint joins, gets tasks, and the dispatcher is lost while the store is down. The
 * list of the next dispatcher does not have the endpoint. An endpoint that joins therefore gets no task
 * before the other instances know of it.
 */
import {
  createEndpointController,
  createProbeBudget,
  createRetainedStarts,
  type EndpointEntry,
  type EndpointNetwork,
  type EndpointController,
  type EndpointControllerEvents,
} from '@celerybarrow/endpoints';
import type { ElapsedClock, TimerService } from '@celerybarrow/timer';
import { ANNOUNCEMENT_MS, FIRST_ANNOUNCEMENT_MS } from './announcement.js';

/** The list of a large fleet is shared within this time. */
const LIST_SHARING_MS = 5_000;

export interface EndpointPool {
  /** Adds, updates and removes endpoints according to a new list. */
  setEntries(entries: readonly EndpointEntry[]): void;
  /**
   * Removes endpoints that are no longer listed, and reopens those with a new address, once nothing
   * runs there.
   */
  removeDrained(): void;
  /** Opens an unlisted endpoint, unless one of its id is open, and keeps it until nothing runs there. */
  keep(entry: EndpointEntry): void;
  /** Whether the current list has an endpoint of this id at the address that is open here. */
  isListed(endpoint: string): boolean;
  /** Whether an endpoint is listed for so short a time that the shared list may lack it. */
  hasJoined(endpoint: string): boolean;
  controllers(): Iterable<EndpointController>;
  find(endpoint: string): EndpointController | undefined;
  size(): number;
  close(): void;
}

export interface EndpointPoolOptions {
  readonly network: EndpointNetwork;
  readonly timer: TimerService;
  readonly clock: ElapsedClock;
  readonly fence: () => number;
  readonly eventsOf: (endpoint: string) => EndpointControllerEvents;
  readonly onRemoved: (endpoint: string) => void;
}

export function createEndpointPool(options: EndpointPoolOptions): EndpointPool {
  const controllers = new Map<string, EndpointController>();
  const retainedStarts = createRetainedStarts();
  const probes = createProbeBudget(options.timer);
  const addresses = new Map<string, string>();
  const createdMs = options.timer.nowMs();
  /** When an endpoint was added to a list that had others. */
  const joinedAtMs = new Map<string, number>();
  let currentEntries: readonly EndpointEntry[] = [];
  /** The address of each listed endpoint, by id. */
  let listedAddresses: ReadonlyMap<string, string> = new Map();
  /** Whether an unlisted or moved endpoint is kept because tasks still run there. */
  let hasDrainingEndpoints = false;

  function open(entry: EndpointEntry): void {
    const { timer, clock, fence } = options;
    const endpoint = options.network.open(entry, () => {
      if (addresses.get(entry.id) === entry.address)
        controllers.get(entry.id)?.handleConnectionLost();
    });
    const events = options.eventsOf(entry.id);
    const isAnnounced = () => isAnnouncedNow(entry.id);
    const earlierStarts = retainedStarts.take(entry.id, timer.nowMs());
    const links = { endpoint, fence, timer, clock, events, isAnnounced };
    controllers.set(entry.id, createEndpointController({ entry, ...links, earlierStarts, probes }));
    addresses.set(entry.id, entry.address);
  }

  /** Called for every endpoint in each placement pass, so it reads the clock only if needed. */
  function isAnnouncedNow(id: string): boolean {
    const joinedMs = joinedAtMs.get(id);
    if (joinedMs === undefined) return true;
    const firstMs = createdMs + FIRST_ANNOUNCEMENT_MS;
    return options.timer.nowMs() >= Math.max(joinedMs, firstMs) + ANNOUNCEMENT_MS;
  }

  /** Records which endpoints the list did not have before. The other instances share a first list. */
  function recordJoined(entries: readonly EndpointEntry[]): void {
    const nowMs = options.timer.nowMs();
    for (const [id, joinedMs] of joinedAtMs)
      if (nowMs - joinedMs > LIST_SHARING_MS) joinedAtMs.delete(id);
    if (listedAddresses.size === 0) return;
    for (const { id, address } of entries)
      if (listedAddresses.get(id) !== address) joinedAtMs.set(id, nowMs);
  }

  function remove(id: string): void {
    const controller = controllers.get(id);
    if (controller !== undefined) {
      retainedStarts.retain(id, controller.unacknowledgedStarts(), options.timer.nowMs());
      controller.close();
    }
    controllers.delete(id);
    addresses.delete(id);
    options.onRemoved(id);
  }

  function setEntries(entries: readonly EndpointEntry[]): void {
    currentEntries = entries;
    hasDrainingEndpoints = false;
    recordJoined(entries);
    listedAddresses = new Map(entries.map(({ id, address }) => [id, address]));
    for (const controller of [...controllers.values()]) {
      if (listedAddresses.has(controller.id)) continue;
      controller.update({ ...controller.entry(), isLeaving: true });
      if (controller.isEmpty()) remove(controller.id);
      else hasDrainingEndpoints = true;
    }
    for (const entry of entries) {
      const known = controllers.get(entry.id);
      if (known === undefined) open(entry);
      else if (addresses.get(entry.id) === entry.address) known.update(entry);
      else if (known.isEmpty()) {
        remove(entry.id);
        open(entry);
      } else {
        known.update({ ...known.entry(), isLeaving: true });
        hasDrainingEndpoints = true;
      }
    }
  }

  return {
    setEntries,
    removeDrained() {
      if (hasDrainingEndpoints) setEntries(currentEntries);
    },
    keep(entry) {
      if (controllers.has(entry.id)) return;
      open({ ...entry, isLeaving: true });
      hasDrainingEndpoints = true;
    },
    isListed: (endpoint) =>
      listedAddresses.has(endpoint) && listedAddresses.get(endpoint) === addresses.get(endpoint),
    hasJoined(endpoint) {
      const joinedMs = joinedAtMs.get(endpoint);
      return joinedMs !== undefined && options.timer.nowMs() - joinedMs <= LIST_SHARING_MS;
    },
    controllers: () => controllers.values(),
    find: (endpoint) => controllers.get(endpoint),
    size: () => controllers.size,
    close() {
      for (const id of [...controllers.keys()]) remove(id);
    },
  };
}
