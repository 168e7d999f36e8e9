/**
 * Schemas of the messages between instances. Payloads and bodies of tasks are sent as JSON text, so
 * that instances forward them without parsing. Times are in milliseconds; points in time are
 * wall-clock milliseconds since the Unix epoch.
 */
import { z } from 'zod';
import { dispatchRequests } from './dispatchMessages.js';

export const PROTOCOL_VERSION = 2;

const nonNegativeInt = z.number().int().nonnegative();
const timestampMs = z.number().nonnegative();

export const greetingSchema = z.object({
  version: z.number().int(),
  instance: z.string().min(1),
  incarnation: z.string().min(1),
  dataCentre: z.string().min(1),
});

export const taskSchema = z.object({
  name: z.string(),
  kind: z.string(),
  payload: z.string(),
});

export const submissionSchema = z.object({
  id: z.string(),
  service: z.string(),
  home: z.string(),
  createdAt: timestampMs,
  deadlineMs: z.number().positive().optional(),
  /** Content hash; submissions with the same content have the same digest. */
  digest: z.string(),
  tasks: z.array(taskSchema),
});

export const taskAnswerSchema = z.object({ name: z.string(), body: z.string() });

export const problemSchema = z.object({
  status: z.number().int(),
  title: z.string(),
  detail: z.string(),
  outcome: z.enum(['not-run', 'may-have-run', 'failed']),
  retryAfterMs: z.number().nonnegative().optional(),
});

/** The final answer of a job: the bodies of all its tasks in order, or a problem. */
export const answerSchema = z.union([
  z.object({ id: z.string(), answers: z.array(taskAnswerSchema) }),
  z.object({ id: z.string(), problem: problemSchema }),
]);

export const memberSchema = z.object({
  instance: z.string().min(1),
  incarnation: z.string().min(1),
  /** `IP:PORT` of the member's peer listener. */
  peer: z.string().min(1),
  /** `IP:PORT` of the member's operator listener. */
  operate: z.string().optional(),
});

/** A member that was removed without handover. */
export const lostMemberSchema = z.object({
  incarnation: z.string(),
  /** Whether the process is known to have ended, rather than only being unresponsive. */
  isProven: z.boolean(),
});

/** The membership view of a data centre. See docs/design/claims.md. */
export const rosterSchema = z.object({
  dataCentre: z.string(),
  /** Increases with every write of the roster. */
  version: nonNegativeInt,
  /** Increases with every change of the members. */
  epoch: nonNegativeInt,
  members: z.array(memberSchema),
  /** Members of earlier epochs whose claims are still being transferred; empty when settled. */
  sources: z.array(memberSchema),
  /** Incarnations that have been members continuously since the last settled roster. */
  base: z.array(z.string()),
  /** Members removed since the last settled roster without handing over their claims. */
  lost: z.array(lostMemberSchema),
  /** Jobs with an id created before this time may have run although no record of them is left. */
  memoryLostBefore: timestampMs,
  /** Unique id of the write that produced this version. */
  writeId: z.string(),
});

/** The registered right of one runner to start the tasks of a job. See docs/design/claims.md. */
export const claimSchema = z.object({
  id: z.string(),
  digest: z.string(),
  createdAt: timestampMs,
  /** Name and incarnation of the instance that may start the tasks. */
  runner: z.string(),
  runnerIncarnation: z.string(),
  /** `IP:PORT` of the runner's peer listener. */
  runnerPeer: z.string(),
  /**
   * Incarnation of an earlier runner that confirmed it has not started and will not start any task.
   */
  supersedes: z.string().optional(),
  /** Epoch in which the claim was made. */
  epoch: nonNegativeInt.optional(),
});

/** A claim whose runner is the sender, which the receiver knows from the connection. */
export const ownClaimSchema = claimSchema
  .pick({ id: true, digest: true, supersedes: true })
  /** Omitted when it equals the timestamp of the UUIDv7 in `id`. */
  .extend({ createdAt: timestampMs.optional() });

export const transferredRecordSchema = claimSchema.extend({
  /** The final answer, when it is transferred with the claim. */
  answer: answerSchema.optional(),
});

/** The load of the endpoints of one service. */
export const groupLoadSchema = z.object({
  /** The service that the endpoints run; absent for endpoints that run any service. */
  service: z.string().optional(),
  /** Slots of the serving endpoints that the sender controls. */
  slots: nonNegativeInt,
  /** Free slots, in descending order of speed. */
  free: z.array(z.object({ speed: z.number().positive(), slots: nonNegativeInt })),
  /** Work queued for the slots, in milliseconds on an endpoint of speed 1. */
  queuedMs: z.number().nonnegative(),
  /** Sum of the relative speeds of the slots. */
  capacity: z.number().nonnegative(),
});

/** The load of one instance, with a group for each service that has dedicated endpoints. */
export const loadSchema = z.object({ groups: z.array(groupLoadSchema) });

export const pingSchema = z.object({
  epoch: nonNegativeInt,
  configurationVersion: nonNegativeInt,
  load: loadSchema,
});

export const batchTaskSchema = z.object({
  index: nonNegativeInt,
  name: z.string(),
  kind: z.string(),
  payload: z.string(),
  /** Expected run time on an endpoint of speed 1. */
  expectedMs: z.number().positive(),
});

export const taskBatchSchema = z.object({
  /** Sequence number of the batch, unique per incarnation of the sender. */
  batch: nonNegativeInt,
  job: z.string(),
  service: z.string(),
  team: z.string(),
  weight: z.number().positive(),
  /** Time left until the tasks may no longer be started. */
  remainingMs: z.number(),
  /** The same point in time by the clock of the sender, which bounds a batch that arrives late. */
  startBefore: timestampMs.optional(),
  /** Time since the job was submitted; determines its position in the queue. */
  ageMs: z.number().nonnegative(),
  tasks: z.array(batchTaskSchema),
});

export const TaskOutcomes = { DONE: 0, FAILED: 1, NOT_STARTED: 2 } as const;
export type TaskOutcome = (typeof TaskOutcomes)[keyof typeof TaskOutcomes];

export const taskResultSchema = z.object({
  index: nonNegativeInt,
  outcome: z.nativeEnum(TaskOutcomes),
  /** JSON text of the answer's body, when the outcome is DONE. */
  body: z.string().optional(),
  detail: z.string().optional(),
  endpoint: z.string().optional(),
  /** Run time on the endpoint, when it ran the task. */
  ranMs: z.number().nonnegative().optional(),
});

const emptyBody = z.object({});

/** Schemas of the request body (`ask`) and the reply body, by request type. */
export const requestSchemas = {
  /** Keepalive on a connection with pending requests. */
  alive: { ask: emptyBody, reply: emptyBody },
  ping: { ask: pingSchema, reply: pingSchema },
  /**
   * The reply is sent when the job ends. It has no `answer` if another instance is responsible for
   * the id.
   */
  submit: {
    ask: z.object({ submission: submissionSchema, hops: nonNegativeInt }),
    reply: z.object({
      answer: answerSchema.optional(),
      /** Whether the sender forwarded the submission without a reply, so that it may still arrive. */
      mayArrive: z.boolean().optional(),
    }),
  },
  lookup: {
    ask: z.object({ id: z.string() }),
    reply: z.object({
      state: z.enum(['unknown', 'running', 'ended']),
      answer: answerSchema.optional(),
      endedTasks: nonNegativeInt.optional(),
      tasks: nonNegativeInt.optional(),
    }),
  },
  /**
   * Sent to the runner of a claim. Waits for the answer of the job; `released` means that the
   * runner will not start any task.
   */
  join: {
    ask: z.object({ id: z.string(), digest: z.string() }),
    reply: z.object({ answer: answerSchema.optional(), released: z.boolean() }),
  },
  cancel: { ask: z.object({ id: z.string() }), reply: z.object({ found: z.boolean() }) },
  trace: { ask: z.object({ id: z.string() }), reply: z.object({ events: z.array(z.string()) }) },
  claim: {
    ask: z.object({
      epoch: nonNegativeInt,
      ceded: z.array(z.string()),
      /** `IP:PORT` of the peer listener of the sender, which is the runner. */
      runnerPeer: z.string(),
      claims: z.array(ownClaimSchema),
    }),
    /**
     * `refused` lists the ids that the witness rejects; `held` lists the claims of other runners
     * that are the reason.
     */
    reply: z.object({
      accepted: z.boolean(),
      epoch: nonNegativeInt,
      refused: z.array(z.string()),
      held: z.array(claimSchema).optional(),
    }),
  },
  /**
   * Asks a member to promise that it accepts no claim of an id in an epoch. A member that already
   * has a claim of the id declines.
   */
  pledge: {
    ask: z.object({ epoch: nonNegativeInt, id: z.string() }),
    reply: z.object({ pledged: z.boolean() }),
  },
  transfer: {
    ask: z.object({
      epoch: nonNegativeInt,
      records: z.array(transferredRecordSchema),
      /** Whether the sender has sealed all earlier epochs and sent all its records. */
      complete: z.boolean(),
    }),
    reply: z.object({ accepted: z.boolean() }),
  },
  /** States that a member registers no more claims in an epoch (a seal). */
  cede: {
    ask: z.object({
      epoch: nonNegativeInt,
      incarnation: z.string(),
      /** Other sealed members of the epoch, to which the sender has not handed over its claims. */
      ceded: z.array(z.string()).optional(),
    }),
    reply: z.object({ accepted: z.boolean() }),
  },
  settled: { ask: z.object({ epoch: nonNegativeInt }), reply: z.object({ settled: z.boolean() }) },
  batch: {
    ask: taskBatchSchema,
    reply: z.object({ accepted: z.boolean(), load: loadSchema }),
  },
  results: {
    ask: z.object({ batch: nonNegativeInt, results: z.array(taskResultSchema), load: loadSchema }),
    reply: emptyBody,
  },
  load: { ask: z.object({ load: loadSchema }), reply: emptyBody },
  drop: { ask: z.object({ job: z.string() }), reply: emptyBody },
  roster: {
    ask: z.object({ dataCentre: z.string() }),
    reply: z.object({ roster: rosterSchema.optional() }),
  },
  configuration: {
    ask: z.object({ newerThan: nonNegativeInt }),
    reply: z.object({ document: z.string().optional() }),
  },
  ...dispatchRequests,
} as const;

export type RequestType = keyof typeof requestSchemas;
export type RequestBody<T extends RequestType> = z.infer<(typeof requestSchemas)[T]['ask']>;
export type Reply<T extends RequestType> = z.infer<(typeof requestSchemas)[T]['reply']>;

export type Greeting = z.infer<typeof greetingSchema>;
export type Task = z.infer<typeof taskSchema>;
export type Submission = z.infer<typeof submissionSchema>;
export type TaskAnswer = z.infer<typeof taskAnswerSchema>;
export type Problem = z.infer<typeof problemSchema>;
export type Answer = z.infer<typeof answerSchema>;
export type Member = z.infer<typeof memberSchema>;
export type LostMember = z.infer<typeof lostMemberSchema>;
export type Roster = z.infer<typeof rosterSchema>;
export type Claim = z.infer<typeof claimSchema>;
export type TransferredRecord = z.infer<typeof transferredRecordSchema>;
export type GroupLoad = z.infer<typeof groupLoadSchema>;
export type Load = z.infer<typeof loadSchema>;
export type TaskBatch = z.infer<typeof taskBatchSchema>;
export type BatchTask = z.infer<typeof batchTaskSchema>;
export type TaskResult = z.infer<typeof taskResultSchema>;

/** The envelope of a frame from the client of a connection. */
export const requestEnvelopeSchema = z.object({
  request: nonNegativeInt,
  type: z.string(),
  body: z.unknown(),
});

/** The envelope of a frame from the server of a connection; `fault` is present if the request failed. */
export const replyEnvelopeSchema = z.object({
  reply: nonNegativeInt,
  fault: z.string().optional(),
  body: z.unknown(),
});
