/**
 * The interface to an endpoint that runs tasks under leases. The endpoint starts a task on a start
 * order, kills all its tasks when its lease ends, lists ended tasks until they are acknowledged,
 * and refuses orders with a lower fencing token than the highest it has seen.
 *
 * `Result.err` means that an order got no answer: the endpoint may have carried it out, or may do
 * so later. Every other answer is definite.
 */
import type { Result } from 'true-myth';
import { z } from 'zod';
import { isDialable } from '@celerybarrow/shared';
import type { EndpointError } from './endpointError.js';

const amount = z.number().nonnegative().finite();
const capacitySchema = z.object({
  /** Thousandths of a core. */
  cores: amount,
  memoryMb: amount,
  accelerators: amount,
});

/** One task of a job. */
export interface TaskRef {
  readonly job: string;
  readonly step: number;
  readonly index: number;
}

/** An order for one run of a task. The run numbers of a task increase. */
export interface RunOrder {
  readonly task: TaskRef;
  readonly run: number;
  readonly fence: number;
}

export interface StartOrder extends RunOrder {
  readonly payload: string;
  /** End of the lease, on the endpoint's clock. */
  readonly leaseEndMs: number;
  /**
   * Start time of the incarnation that may carry out the order; absent if the endpoint does not
   * report it. The order is not sent to another incarnation.
   */
  readonly bornMs?: number;
}

export interface RenewalOrder {
  readonly fence: number;
  /** Acknowledges the ends up to this number; the endpoint then drops them. */
  readonly endsSeen?: number;
  /** New lease end of all tasks on the endpoint, on the endpoint's clock. */
  readonly leaseEndMs?: number;
  /** How long the endpoint may delay its answer until a task ends. */
  readonly waitMs: number;
}

export const OrderAnswers = {
  /** The order is carried out, or was carried out before. */
  ACCEPTED: 'accepted',
  /** The endpoint obeys a dispatcher with a higher fencing token. */
  FENCED: 'fenced',
  /** This run or a later run of the task was stopped or has ended on the endpoint. */
  OUTDATED: 'outdated',
  /** The lease had ended when the order arrived. */
  TOO_LATE: 'too-late',
  NO_ROOM: 'no-room',
  /** The endpoint is not healthy and did nothing. */
  UNHEALTHY: 'unhealthy',
  /** Another endpoint answers at the address. */
  REPLACED: 'replaced',
  /** Not sent: no connection of the incarnation that the order was meant for was available. */
  NOT_SENT: 'not-sent',
  /** The endpoint does not understand the order. */
  REJECTED: 'rejected',
} as const;
export type OrderAnswer = (typeof OrderAnswers)[keyof typeof OrderAnswers];

export const RunEnds = {
  DONE: 'done',
  FAILED: 'failed',
  STOPPED: 'stopped',
  /** The lease ended, or the endpoint process did. */
  LAPSED: 'lapsed',
  /** The run never started and never will. */
  NOT_STARTED: 'not-started',
} as const;
export type RunEnd = (typeof RunEnds)[keyof typeof RunEnds];

export interface RunningTask {
  readonly task: TaskRef;
  readonly run: number;
  /** Progress, 0 to 100. */
  readonly percent: number;
}

export interface EndedTask {
  /** Sequence number of the end, from 1 in each incarnation of the endpoint. */
  readonly number: number;
  readonly task: TaskRef;
  readonly run: number;
  readonly end: RunEnd;
}

/** What an endpoint reports about itself. */
export interface EndpointReport {
  /** The endpoint's monotonic clock when it answered. */
  readonly clockMs: number;
  /** Start time of this incarnation; absent if the endpoint does not report it. */
  readonly bornMs?: number | undefined;
  readonly running: readonly RunningTask[];
  readonly ended: readonly EndedTask[];
}

export interface RenewalAnswer {
  readonly answer: OrderAnswer;
  readonly report?: EndpointReport;
}

/** The connection to one endpoint. */
export interface LeasedEndpoint {
  start(order: StartOrder): Promise<Result<OrderAnswer, EndpointError>>;
  stop(order: RunOrder): Promise<Result<OrderAnswer, EndpointError>>;
  renew(order: RenewalOrder): Promise<Result<RenewalAnswer, EndpointError>>;
  close(): void;
}

/** The directory entry of an endpoint. A schema, because other instances also send such entries. */
export const endpointEntrySchema = z.object({
  id: z.string().min(1),
  service: z.string(),
  /** `IP:PORT`. */
  address: z.string().refine(isDialable),
  dataCentre: z.string(),
  isLeaving: z.boolean(),
  /**
   * Whether the entry has become unreadable or is missing. The endpoint then counts as leaving,
   * although it did not announce that.
   */
  isSpoiled: z.boolean().optional(),
  capacity: capacitySchema,
  /** Among others the kind and the rack of the endpoint. */
  labels: z.array(z.string()),
  /**
   * Start time of the incarnation that the entry describes; absent if the platform does not tell.
   * Comparable with the `bornMs` of reports.
   */
  bornMs: z.number().optional(),
});

export type EndpointEntry = Omit<Readonly<z.infer<typeof endpointEntrySchema>>, 'labels'> & {
  readonly labels: readonly string[];
  /**
   * Whether its data centre is evacuated, so that nothing may start there. Each instance sets this by
   * its own list of evacuations; entries from the store and from other instances do not have it.
   */
  readonly isEvacuated?: boolean;
};

/** Opens connections to endpoints. */
export interface EndpointNetwork {
  /**
   * `onConnectionLost` is called when the endpoint has closed a connection, as a restart does.
   */
  open(entry: EndpointEntry, onConnectionLost?: () => void): LeasedEndpoint;
}

export function taskKey(task: TaskRef): string {
  return `${task.job}/${task.step}/${task.index}`;
}
