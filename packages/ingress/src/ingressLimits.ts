/**
 * The limits that protect a process from its callers. The defaults follow from the memory and the
 * file descriptors of the machine; an environment variable replaces each of them.
 */
import { getHeapStatistics } from 'node:v8';
import { Result } from 'true-myth';

const MB = 1_048_576;
/** Without settings, the process has the largest machine that the platform provides. */
const DEFAULT_MEMORY_MB = 740;
const DEFAULT_MAX_FDS = 10_250;
/**
 * A process uses 70 to 110 MB at rest. The remainder of the reserve is for garbage that is not yet
 * collected, of which the runtime keeps up to 32 MB of received data alone.
 */
const RESERVED_MB = 140;
const MIN_SPARE_MB = 32;
const FILE_FDS = 200;
/** Data that a peer may have in flight before the process reads any of it. */
const UNREAD_BYTES_PER_CONNECTION = 65_536;
const MIN_CONNECTIONS = 16;
/** Shares of the sockets. What remains is for workers, the store and other instances. */
const CALLER_SHARE = 0.5;
const OTHER_USES_SHARE = 0.2;
const READINESS_SHARE = 0.05;
const MAX_READINESS_CONNECTIONS = 128;
const METRICS_SHARE = 0.02;
const MAX_METRICS_CONNECTIONS = 32;
const MIN_METRICS_CONNECTIONS = 8;
const CONNECTIONS_PER_WORKER = 4;
const HEAP_SHARE_FOR_WORK = 0.25;

export interface IngressLimits {
  /** Sockets that the process may have open. */
  readonly sockets: number;
  /** Bytes of requests that are being read. */
  readonly readingBytes: number;
  /** The same for one caller address; undefined for no limit. */
  readonly readingBytesPerAddress: number | undefined;
  /** Estimated bytes of requests that are being carried out. */
  readonly workBytes: number;
  readonly connections: number;
  /** Connections from one caller address; undefined for no limit. */
  readonly connectionsPerAddress: number | undefined;
  readonly readinessConnections: number;
  readonly metricsConnections: number;
  /** Time for a whole body. */
  readonly bodyMs: number;
  /** Under pressure, a body must not pause for longer. */
  readonly stallMs: number;
  /** Under pressure, the least average rate of a body. */
  readonly bodyBytesPerS: number;
  /** Requests of one connection that are carried out at the same time. */
  readonly runningRequests: number;
  /** Requests of one connection above which it is closed. */
  readonly openRequests: number;
  /** Bytes of unread responses above which a connection is closed. */
  readonly unsentBytes: number;
  /** Time in which a caller reads a part of a response. */
  readonly unsentMs: number;
  readonly steps: number;
  /** Values in a document; undefined for half of the limit of its bytes. */
  readonly elements: number | undefined;
  readonly depth: number;
  /** Estimated wait of a large document for its turn to be parsed. */
  readonly queueMs: number;
  /** Time for which the rest of a refused request is read and discarded. */
  readonly lingerMs: number;
}

const variables: Readonly<Record<Exclude<keyof IngressLimits, 'sockets'>, string>> = {
  readingBytes: 'CELERYBARROW_INGRESS_READING_BYTES',
  readingBytesPerAddress: 'CELERYBARROW_INGRESS_READING_BYTES_PER_ADDRESS',
  workBytes: 'CELERYBARROW_INGRESS_WORK_BYTES',
  connections: 'CELERYBARROW_INGRESS_CONNECTIONS',
  connectionsPerAddress: 'CELERYBARROW_INGRESS_CONNECTIONS_PER_ADDRESS',
  readinessConnections: 'CELERYBARROW_INGRESS_READINESS_CONNECTIONS',
  metricsConnections: 'CELERYBARROW_INGRESS_METRICS_CONNECTIONS',
  bodyMs: 'CELERYBARROW_INGRESS_BODY_MS',
  stallMs: 'CELERYBARROW_INGRESS_STALL_MS',
  bodyBytesPerS: 'CELERYBARROW_INGRESS_BODY_BYTES_PER_S',
  runningRequests: 'CELERYBARROW_INGRESS_RUNNING_REQUESTS',
  openRequests: 'CELERYBARROW_INGRESS_OPEN_REQUESTS',
  unsentBytes: 'CELERYBARROW_INGRESS_UNSENT_BYTES',
  unsentMs: 'CELERYBARROW_INGRESS_UNSENT_MS',
  steps: 'CELERYBARROW_INGRESS_STEPS',
  elements: 'CELERYBARROW_INGRESS_ELEMENTS',
  depth: 'CELERYBARROW_INGRESS_DEPTH',
  queueMs: 'CELERYBARROW_INGRESS_QUEUE_MS',
  lingerMs: 'CELERYBARROW_INGRESS_LINGER_MS',
};

export interface MachineLimits {
  readonly memoryMb?: number | undefined;
  readonly maxFds?: number | undefined;
  /** Limit of the JavaScript heap, in which the work in hand is kept. */
  readonly heapBytes?: number | undefined;
}

export function computeIngressLimits(machine: MachineLimits = {}): IngressLimits {
  const memoryMb = machine.memoryMb ?? DEFAULT_MEMORY_MB;
  const spareBytes = Math.max(MIN_SPARE_MB, memoryMb - RESERVED_MB) * MB;
  const sockets = Math.max(0, (machine.maxFds ?? DEFAULT_MAX_FDS) - FILE_FDS);
  const connectionsInMemory = Math.floor(spareBytes / 2 / UNREAD_BYTES_PER_CONNECTION);
  return {
    sockets,
    readingBytes: Math.floor(spareBytes / 8),
    readingBytesPerAddress: undefined,
    workBytes: Math.floor(
      Math.min(spareBytes / 4, (machine.heapBytes ?? Infinity) * HEAP_SHARE_FOR_WORK),
    ),
    connections: Math.max(
      MIN_CONNECTIONS,
      Math.min(connectionsInMemory, Math.floor(sockets * CALLER_SHARE)),
    ),
    connectionsPerAddress: undefined,
    readinessConnections: clamp(
      sockets * READINESS_SHARE,
      MIN_CONNECTIONS,
      MAX_READINESS_CONNECTIONS,
    ),
    metricsConnections: clamp(
      sockets * METRICS_SHARE,
      MIN_METRICS_CONNECTIONS,
      MAX_METRICS_CONNECTIONS,
    ),
    bodyMs: 30_000,
    stallMs: 2_000,
    bodyBytesPerS: 1_000,
    runningRequests: 4,
    openRequests: 64,
    unsentBytes: 65_536,
    unsentMs: 15_000,
    steps: 10_000,
    elements: undefined,
    depth: 512,
    queueMs: 1_000,
    lingerMs: 1_000,
  };
}

/**
 * The connections of callers that leave the sockets which the known workers need. A process that
 * dispatches has up to four to each worker.
 */
export function limitCallerConnections(
  { sockets, connections }: Pick<IngressLimits, 'sockets' | 'connections'>,
  workers: number,
): number {
  const free = sockets * (1 - OTHER_USES_SHARE) - CONNECTIONS_PER_WORKER * workers;
  return Math.max(MIN_CONNECTIONS, Math.min(connections, Math.floor(free)));
}

/**
 * Computes the limits and replaces the defaults by environment variables. Fails with a line for each
 * invalid variable.
 */
export function readIngressLimits(
  machine: MachineLimits,
  environment: Readonly<Record<string, string | undefined>>,
): Result<IngressLimits, readonly string[]> {
  const faults: string[] = [];

  function read(variable: string): number | undefined {
    const text = environment[variable] ?? '';
    if (text === '') return undefined;
    const value = Number(text);
    if (Number.isSafeInteger(value) && value > 0) return value;
    faults.push(`${variable}: not a positive integer`);
    return undefined;
  }

  const limits = computeIngressLimits({
    memoryMb: machine.memoryMb ?? read('CELERYBARROW_MEMORY_MB'),
    maxFds: machine.maxFds ?? read('CELERYBARROW_MAX_FDS'),
    heapBytes: machine.heapBytes ?? getHeapStatistics().heap_size_limit,
  });
  const overrides = Object.entries(variables).flatMap(([name, variable]) => {
    const value = read(variable);
    return value === undefined ? [] : [[name, value]];
  });
  if (faults.length > 0) return Result.err(faults);
  return Result.ok({ ...limits, ...(Object.fromEntries(overrides) as Partial<IngressLimits>) });
}

function clamp(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, Math.floor(value)));
}
