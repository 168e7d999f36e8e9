/**
 * Bounds the memory for the bytes of requests that are being read. Handles many callers that send
 * bodies of legal size at the same time, most of which stop just short of the end.
 */

/** Estimated memory of a reader beyond the bytes of its body. */
const READER_BYTES = 2_048;
/** Prevents that a reader which has just received data counts as free of cost. */
const MIN_STALL_MS = 50;
const PRESSURE_SHARE = 0.5;

export interface BodyReader {
  readonly address: string;
  /** Called at most once, when the reader loses its memory to others. */
  readonly onEvicted: () => void;
}

export interface ReadingBudget {
  open(reader: BodyReader, nowMs: number): void;
  /** Records that a reader keeps `bytes` now. Evicts readers, possibly this one, over the limit. */
  hold(reader: BodyReader, bytes: number, nowMs: number): void;
  close(reader: BodyReader): void;
  heldBytes(): number;
  /** Whether so much of the budget is used that slow readers are not tolerated. */
  isPressed(): boolean;
}

export interface ReadingBudgetOptions {
  readonly limitBytes: number;
  readonly addressLimitBytes?: number | undefined;
}

interface Holding {
  bytes: number;
  progressMs: number;
}

export function createReadingBudget(options: ReadingBudgetOptions): ReadingBudget {
  const { limitBytes, addressLimitBytes } = options;
  const holdings = new Map<BodyReader, Holding>();
  const bytesByAddress = new Map<string, number>();
  let heldBytes = 0;

  function add(address: string, bytes: number): void {
    heldBytes += bytes;
    if (addressLimitBytes === undefined) return;
    const total = (bytesByAddress.get(address) ?? 0) + bytes;
    if (total > 0) bytesByAddress.set(address, total);
    else bytesByAddress.delete(address);
  }

  function close(reader: BodyReader): void {
    const holding = holdings.get(reader);
    if (holding === undefined) return;
    holdings.delete(reader);
    add(reader.address, -holding.bytes);
  }

  /** The reader that keeps the most bytes for the longest time without receiving more. */
  function findMostCostly(nowMs: number, address?: string): BodyReader | undefined {
    let mostCostly: BodyReader | undefined;
    let highestCost = -1;
    for (const [reader, { bytes, progressMs }] of holdings) {
      if (address !== undefined && reader.address !== address) continue;
      const cost = bytes * Math.max(MIN_STALL_MS, nowMs - progressMs);
      if (cost <= highestCost) continue;
      mostCostly = reader;
      highestCost = cost;
    }
    return mostCostly;
  }

  function evict(reader: BodyReader | undefined): void {
    if (reader === undefined) return;
    close(reader);
    reader.onEvicted();
  }

  return {
    open(reader, nowMs) {
      holdings.set(reader, { bytes: READER_BYTES, progressMs: nowMs });
      add(reader.address, READER_BYTES);
    },
    hold(reader, bytes, nowMs) {
      const holding = holdings.get(reader);
      if (holding === undefined) return;
      add(reader.address, bytes + READER_BYTES - holding.bytes);
      holding.bytes = bytes + READER_BYTES;
      holding.progressMs = nowMs;
      const { address } = reader;
      while (
        addressLimitBytes !== undefined &&
        (bytesByAddress.get(address) ?? 0) > Math.max(addressLimitBytes, holding.bytes)
      )
        evict(findMostCostly(nowMs, address));
      // A single body is always read; its own limit bounds it.
      while (heldBytes > limitBytes && holdings.size > 1) evict(findMostCostly(nowMs));
    },
    close,
    heldBytes: () => heldBytes,
    isPressed: () => heldBytes > limitBytes * PRESSURE_SHARE,
  };
}
