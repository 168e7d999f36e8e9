/**
 * Messages of leased dispatch: the jobs that gateways send to the dispatcher, and the heartbeats
 * and views by which instances agree on the dispatcher. All durations are in milliseconds.
 * Wall-clock times are never sent, because the clocks of two instances may differ.
 */
import { z } from 'zod';
import { isDialable } from '@celerybarrow/shared';

const nonNegativeInt = z.number().int().nonnegative();
const durationMs = z.number();

export const resourcesSchema = z.object({
  /** Thousandths of a core. */
  cores: nonNegativeInt,
  memoryMb: nonNegativeInt,
  accelerators: nonNegativeInt,
});

/** A group of identical tasks within a job. */
export const stepSchema = z.object({
  tasks: z.number().int().positive(),
  demand: resourcesSchema,
  /** The caller's rough estimate of the run time of one task. */
  estimateMs: z.number().positive(),
  /** Indexes of earlier steps that must complete before this step starts. */
  after: z.array(nonNegativeInt),
  /** Label that an endpoint must have to run the tasks. */
  label: z.string().optional(),
  /** Rack where the data is stored; tasks run longer on endpoints in other racks. */
  rack: z.string().optional(),
  /** Maximum number of tasks of this step on one endpoint. */
  perEndpoint: z.number().int().positive().optional(),
});

/** A job that is not stored: its outcome is returned as the reply to its submission. */
export const leasedJobSchema = z.object({
  id: z.string().min(1),
  team: z.string(),
  service: z.string(),
  /** Lower values are dispatched first. */
  priority: z.number(),
  /** Number of failed runs of one task after which the job fails. */
  maxAttempts: z.number().int().positive(),
  /**
   * The latency objective is the critical path of the job times this factor, plus the allowance.
   */
  objectiveStretch: z.number().positive(),
  objectiveAllowanceMs: z.number().nonnegative(),
  payload: z.string(),
  steps: z.array(stepSchema).min(1),
  /** Time since the gateway read the caller's request. */
  ageMs: durationMs.nonnegative(),
  /** Time left until the caller stops waiting. */
  remainingMs: durationMs,
  /**
   * Longest wait for free capacity with which the job is not refused. Without it, the job may wait for
   * as long as its caller does.
   */
  maxWaitMs: durationMs.nonnegative().optional(),
});

export const JobStates = {
  COMPLETED: 'completed',
  FAILED: 'failed',
  /** No task ran and none will. */
  REFUSED: 'refused',
  /** The caller's deadline has passed or cannot be met; runs in progress are being stopped. */
  EXPIRED: 'expired',
  /** A task may have run, but the dispatcher does not know its outcome. */
  LOST: 'lost',
  /** Another instance is now the dispatcher and can adopt the runs in progress. */
  MOVED: 'moved',
} as const;
export type JobState = (typeof JobStates)[keyof typeof JobStates];

export const jobOutcomeSchema = z.object({
  state: z.nativeEnum(JobStates),
  /** The cause of this state, for the log and the caller. */
  reason: z.string(),
  /** For a refused job: how long to wait before submitting it again. */
  retryAfterMs: durationMs.optional(),
  /** For a moved job: endpoints with runs still in progress. */
  heldOn: z.array(z.string()).optional(),
  /** For a moved job: whether no task was started under this submission. */
  isUntouched: z.boolean().optional(),
  /** For an expired job: whether it was cancelled. */
  isCancelled: z.boolean().optional(),
});

const MAX_NAME_CHARACTERS = 200;
const name = z.string().min(1).max(MAX_NAME_CHARACTERS);
/** In cores; far above the size of any machine. */
const MAX_WEIGHT = 10_000;
/** The limits keep a fencing token, which combines epoch and round, an exact integer. */
const MAX_EPOCH = 2 ** 32;
const MAX_ROUND = 2 ** 20;

/** The outcome of a cancelled job; a caller that submits it again gets the same. */
export const CANCELLED_OUTCOME = {
  state: JobStates.EXPIRED,
  reason: 'cancelled',
  isCancelled: true,
} as const;

/** An instance of the fleet. */
export const fleetMemberSchema = z.object({
  instance: name,
  incarnation: name,
  /** `IP:PORT` of its peer listener. */
  peer: z.string().refine(isDialable, 'not an address'),
  dataCentre: z.string().max(MAX_NAME_CHARACTERS),
  /** Relative processor share; instances with a larger weight are preferred as dispatcher. */
  weight: z.number().nonnegative().max(MAX_WEIGHT),
});

/**
 * Names the dispatcher of a shard, as a view in viewstamped replication names the primary. Views
 * are ordered by epoch, then by round.
 */
export const viewSchema = z.object({
  /** Increases with each change of dispatcher that is recorded in the store. */
  epoch: nonNegativeInt.max(MAX_EPOCH),
  /** Increases with each change made while the store is unreachable; 0 for views in the store. */
  round: nonNegativeInt.max(MAX_ROUND),
  dispatcher: fleetMemberSchema,
});

/** A document that instances replicate to each other; the higher version wins. */
export const documentSchema = z.object({ version: nonNegativeInt, text: z.string() });

/** Tells which version of a document an instance has, without its text. */
export const announcementSchema = z.object({ version: nonNegativeInt, digest: z.string() });

/**
 * What a gateway knows of its dispatcher when it sends a message. It tells the dispatcher under which
 * view the message was sent, and how old the message is at most.
 */
export const gatewayStateSchema = z.object({
  /** Fencing token of the view that the gateway has. */
  fence: nonNegativeInt,
  /**
   * Newest time on the dispatcher's clock that a heartbeat reply has told the gateway; absent before the
   * first one.
   */
  heardMs: nonNegativeInt.optional(),
  /**
   * How many jobs the gateway has sent to this dispatcher and no longer awaits the answer of, although
   * none came. While the number is the same, the gateway has handed over none elsewhere.
   */
  unanswered: nonNegativeInt,
});

export const pulseSchema = z.object({
  /** Zero-based index of the shard that the view belongs to. */
  shard: nonNegativeInt,
  view: viewSchema,
  /** Versions of the documents that the sender has, by name. */
  versions: z.record(nonNegativeInt),
  /** Whether the sender fetches the documents that are announced to it; absent means false. */
  fetchesDocuments: z.boolean().optional(),
  /** How many cancellations of the dispatcher the sender knows; absent if it takes none. */
  cancellationsAfter: nonNegativeInt.optional(),
  /** See `gatewayStateSchema`; the fencing token follows from the view. */
  heardMs: nonNegativeInt.optional(),
  /** Absent if the sender is of an earlier version. */
  unanswered: nonNegativeInt.optional(),
});

export const pulseReplySchema = z.object({
  view: viewSchema.optional(),
  isDispatching: z.boolean(),
  /** Time on the dispatcher's clock; the sender returns it as `heardMs`. */
  clockMs: nonNegativeInt.optional(),
  /**
   * Documents that are newer than the versions of the requester, by name. Empty for a requester that
   * fetches documents.
   */
  documents: z.record(documentSchema),
  /** The same documents without their texts, for a requester that fetches documents. */
  newer: z.record(announcementSchema).optional(),
  /** Names of documents that the requester has in a newer version and should send. */
  wanted: z.array(z.string()).optional(),
  /** Number of jobs without a started task, by team. */
  waiting: z.record(nonNegativeInt),
  /** Jobs cancelled after the requested position, and the position after them. */
  cancellations: z.object({ jobs: z.array(z.string()), position: nonNegativeInt }).optional(),
});

/** What an instance knows of a dispatcher that the requester suspects to have failed. */
export const opinionSchema = z.object({
  view: viewSchema.optional(),
  /**
   * Time since the last contact with the dispatcher of the requested view; absent if the instance
   * has no connection to that dispatcher.
   */
  heardAgoMs: durationMs.optional(),
  isStoreReachable: z.boolean(),
  isStopping: z.boolean(),
});

export const withdrawalSchema = z.object({
  /** Whether the dispatcher had the job, and has ended it. */
  found: z.boolean(),
  /**
   * Whether another dispatcher may have the job, or its gateway may still hand it over; absent means
   * false.
   */
  isUncertain: z.boolean().optional(),
});

/** Schemas of the request and reply bodies of leased dispatch, by request type. */
export const dispatchRequests = {
  /**
   * Submits a job. The reply is sent when the job has ended. This request and the heartbeats of
   * `gateway` renew the lease that allows its jobs to run, from the time that they have heard of.
   */
  dispatch: {
    ask: z.object({
      shard: nonNegativeInt,
      job: leasedJobSchema,
      gateway: z.string(),
      /** Absent if the gateway is of an earlier version. */
      sender: gatewayStateSchema.optional(),
      /** How many times this gateway has already sent the job to a dispatcher. */
      resubmissions: nonNegativeInt,
      /** Endpoints with runs of the job that an earlier dispatcher started. */
      heldOn: z.array(z.string()).optional(),
      /**
       * Time since another dispatcher, which was lost before it replied, last may have started tasks of
       * the job: since it received the job, or since it last answered a heartbeat.
       */
      lostHandoverAgoMs: durationMs.optional(),
      /**
       * Version of the departing endpoints of the shard that the gateway knows; absent if it knows of
       * none. A dispatcher with an older version may lack endpoints with runs of the job.
       */
      departuresVersion: nonNegativeInt.optional(),
      /** Whether the gateway knows that the job was cancelled; absent means false. */
      isCancelled: z.boolean().optional(),
    }),
    reply: jobOutcomeSchema,
  },
  /** Cancels a job if it still belongs to `gateway`, or to any gateway if none is given. */
  withdraw: {
    ask: z.object({ shard: nonNegativeInt, job: z.string(), gateway: z.string().optional() }),
    reply: withdrawalSchema,
  },
  /** Repeats cancellations to a dispatcher that may not know them. */
  cancellations: {
    ask: z.object({ shard: nonNegativeInt, jobs: z.array(z.string()) }),
    /** Whether the receiver dispatches the shard and remembers them now. */
    reply: z.object({ isRecorded: z.boolean() }),
  },
  /**
   * Sent by a gateway that will end: its open jobs have to end within `remainingMs`, or are refused
   * if nothing of them has run.
   */
  limitJobs: {
    ask: z.object({ shard: nonNegativeInt, gateway: z.string(), remainingMs: durationMs }),
    reply: z.object({}),
  },
  /**
   * Asks whether the dispatcher may have a job; used before a gateway sends the job to another
   * shard.
   */
  lookUp: {
    ask: z.object({ shard: nonNegativeInt, job: z.string() }),
    reply: z.object({ isKnown: z.boolean() }),
  },
  /** Heartbeat from a gateway to its dispatcher. */
  pulse: { ask: pulseSchema, reply: pulseReplySchema },
  /** Sends the documents that the receiver listed in `wanted`, by name. */
  documents: {
    ask: z.object({ documents: z.record(documentSchema) }),
    reply: z.object({}),
  },
  /** Asks for announced documents, by name. */
  fetchDocuments: {
    ask: z.object({ names: z.array(z.string()) }),
    reply: z.object({ documents: z.record(documentSchema) }),
  },
  /** Asks a peer whether it has contact with the dispatcher of a view. */
  opinion: {
    ask: z.object({ shard: nonNegativeInt, view: viewSchema.optional() }),
    reply: opinionSchema,
  },
  /** Sent by a stopping dispatcher to its successor. */
  takeOver: {
    ask: z.object({ shard: nonNegativeInt, view: viewSchema }),
    reply: z.object({ accepted: z.boolean() }),
  },
} as const;

export type Resources = z.infer<typeof resourcesSchema>;
export type Step = z.infer<typeof stepSchema>;
export type LeasedJob = z.infer<typeof leasedJobSchema>;
export type JobOutcome = z.infer<typeof jobOutcomeSchema>;
export type FleetMember = z.infer<typeof fleetMemberSchema>;
export type Withdrawal = z.infer<typeof withdrawalSchema>;
export type View = z.infer<typeof viewSchema>;
export type GatewayState = z.infer<typeof gatewayStateSchema>;
export type Opinion = z.infer<typeof opinionSchema>;
export type SharedDocument = z.infer<typeof documentSchema>;
export type Announcement = z.infer<typeof announcementSchema>;
