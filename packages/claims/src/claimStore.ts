/**
 * Stores the claims that an instance knows as owner, runner or witness until their retention ends.
 * Records are bucketed by creation time, so that the cost of expiry depends only on the records
 * that it removes.
 */
import type { Answer, Claim, TransferredRecord } from '@celerybarrow/protocol';

/** How long after its creation a submission may be resubmitted. */
export const RETENTION_MS = 15 * 60_000;
/** How much longer than the retention records are kept, because the clocks of instances differ. */
const RETENTION_MARGIN_MS = 60_000;
const BUCKET_MS = 30_000;

export interface ClaimRecord {
  claim: Claim;
  /**
   * The records of other runners for the same id. The first replaces this record if `claim` is
   * removed.
   */
  conflicting?: readonly ClaimRecord[] | undefined;
  answer?: Answer | undefined;
  /** Whether this instance ran the job to its end. Remains set after the answer is evicted. */
  hasEnded?: boolean;
}

export interface ClaimStore {
  find(id: string): ClaimRecord | undefined;
  /**
   * Adds a claim, or replaces the claim that it supersedes. Returns false if another runner has
   * claimed the id.
   */
  add(claim: Claim): boolean;
  /** Returns the claims of other runners for the id of a claim. */
  findOthers(claim: Claim): readonly Claim[];
  /**
   * Adds a record received from another instance. The answer is kept if either side knows it. If
   * the claims name different runners, at most one of them is registered. The store cannot tell
   * which one, so it keeps all.
   */
  merge(record: TransferredRecord): void;
  setAnswer(id: string, answer: Answer): void;
  /** Removes an abandoned claim. The record of another runner for the id takes its place. */
  remove(id: string): void;
  expire(nowMs: number): void;
  records(): IterableIterator<ClaimRecord>;
  size(): number;
}

export function createClaimStore(): ClaimStore {
  const byId = new Map<string, ClaimRecord>();
  const buckets = new Map<number, Set<string>>();

  function insert(claim: Claim): ClaimRecord {
    const record: ClaimRecord = { claim };
    byId.set(claim.id, record);
    const key = bucketOf(claim.createdAt);
    const bucket = buckets.get(key) ?? new Set();
    bucket.add(claim.id);
    buckets.set(key, bucket);
    return record;
  }

  function add(claim: Claim): boolean {
    const record = byId.get(claim.id);
    if (record === undefined) {
      insert(claim);
      return true;
    }
    const others = allOf(record).filter((one) => !isSameRunner(one.claim, claim));
    const remaining = others.filter((one) => !supersedes(claim, one.claim));
    if (remaining.length === 0) {
      record.claim = claim;
      record.conflicting = undefined;
      return true;
    }
    // The superseded claims are void all the same. The owner asks the remaining runners next.
    for (const one of others) if (supersedes(claim, one.claim)) one.claim = claim;
    return false;
  }

  function merge({ answer, ...claim }: TransferredRecord): void {
    const record = byId.get(claim.id);
    if (record === undefined) {
      insert(claim).answer = answer;
      return;
    }
    const match = allOf(record).find((one) => isRelated(one.claim, claim));
    if (match === undefined) {
      record.conflicting = [...(record.conflicting ?? []), { claim, answer }];
      return;
    }
    if (isNewer(claim, match.claim)) match.claim = claim;
    match.answer ??= answer;
  }

  return {
    find: (id) => byId.get(id),
    add,
    findOthers(claim) {
      const record = byId.get(claim.id);
      if (record === undefined) return [];
      return allOf(record).flatMap((one) => (isSameRunner(one.claim, claim) ? [] : [one.claim]));
    },
    merge,
    setAnswer(id, answer) {
      const record = byId.get(id);
      if (record === undefined) return;
      record.answer = answer;
      record.hasEnded = true;
    },
    remove(id) {
      const record = byId.get(id);
      if (record === undefined) return;
      byId.delete(id);
      buckets.get(bucketOf(record.claim.createdAt))?.delete(id);
      const [next, ...others] = record.conflicting ?? [];
      if (next === undefined) return;
      const replacement = insert(next.claim);
      replacement.answer = next.answer;
      if (others.length > 0) replacement.conflicting = others;
    },
    expire(nowMs) {
      const oldest = bucketOf(nowMs - RETENTION_MS - RETENTION_MARGIN_MS);
      for (const [key, ids] of buckets) {
        if (key >= oldest) continue;
        for (const id of ids) byId.delete(id);
        buckets.delete(key);
      }
    },
    records: () => byId.values(),
    size: () => byId.size,
  };
}

/** Returns a record and the records of other runners beside it. */
export function allOf(record: ClaimRecord): readonly ClaimRecord[] {
  return record.conflicting === undefined ? [record] : [record, ...record.conflicting];
}

function isSameRunner(one: Claim, other: Claim): boolean {
  return one.runnerIncarnation === other.runnerIncarnation;
}

/**
 * Whether a claim was made after the runner of another had released it. A release says nothing
 * about a claim that the same runner has made in a later epoch.
 */
function supersedes(claim: Claim, other: Claim): boolean {
  if (claim.supersedes !== other.runnerIncarnation) return false;
  return (claim.epoch ?? Infinity) >= (other.epoch ?? 0);
}

function isRelated(one: Claim, other: Claim): boolean {
  return isSameRunner(one, other) || supersedes(one, other) || supersedes(other, one);
}

function isNewer(claim: Claim, known: Claim): boolean {
  if (isSameRunner(claim, known)) return (claim.epoch ?? 0) > (known.epoch ?? 0);
  return supersedes(claim, known);
}

function bucketOf(createdAt: number): number {
  return Math.floor(createdAt / BUCKET_MS);
}
