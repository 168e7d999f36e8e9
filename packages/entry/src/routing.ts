/** The queues that callers can submit to, and how a request finds its own. */

export interface Queue {
  readonly team: string;
  /** Host name that callers use. */
  readonly host: string;
  /** Paths of the queue begin so. */
  readonly prefix: string;
  readonly service: string;
  /** Lower numbers go first. */
  readonly priority: number;
  readonly maxAttempts: number;
  readonly timeoutMs: number;
  readonly objectiveStretch: number;
  readonly objectiveAllowanceMs: number;
  /** Whether a policy outside decides which endpoints may run a step; such jobs are not served. */
  readonly hasAdvice: boolean;
}

export interface Routing {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly limits: {
    readonly bodyBytes: number;
    readonly headerMs: number;
    readonly idleMs: number;
  };
}

/** The queue of a request: that of its host with the longest prefix of its path. */
export function findQueue(routing: Routing, host: string, path: string): Queue | undefined {
  let longest: Queue | undefined;
  for (const queue of routing.queues) {
    if (queue.host !== host || !path.startsWith(queue.prefix)) continue;
    if (queue.prefix.length > (longest?.prefix.length ?? -1)) longest = queue;
  }
  return longest;
}
