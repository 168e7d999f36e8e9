/**
 * Runs one claimed job: places its tasks and collects their results. The job ends exactly once,
 * either with the bodies of all tasks in order or with a problem. A job that ends with a problem
 * drops its tasks that have not started.
 */
import { createDeferred, Outcomes, type Outcome } from '@celerybarrow/shared';
import type { TimerService } from '@celerybarrow/timer';
import {
  TaskOutcomes,
  type Answer,
  type BatchTask,
  type Problem,
  type Submission,
  type TaskAnswer,
  type TaskResult,
} from '@celerybarrow/protocol';
import type { Placement } from '@celerybarrow/placement';
import * as problems from './problems.js';

/**
 * How long a cancelled or expired job waits for peers to report which of its tasks they started.
 */
const REPORT_TIMEOUT_MS = 1_000;
const MAX_ANSWER_BYTES = 6 * 1024 * 1024;

export interface JobRun {
  /** Places the tasks and resolves with the answer. */
  run(): Promise<Answer>;
  /** Ends the job early. The outcome in the answer states whether tasks may have run. */
  cancel(): void;
  endedTasks(): number;
}

export interface JobRunOptions {
  readonly submission: Submission;
  readonly team: string;
  readonly weight: number;
  readonly tasks: readonly BatchTask[];
  readonly startBefore: number;
  readonly submittedAt: number;
  readonly placement: Placement;
  readonly timer: TimerService;
  readonly trace: (sentence: string) => void;
}

type EndCause = 'complete' | 'cancelled' | 'deadline' | 'failed' | 'lost';

export function createJobRun(options: JobRunOptions): JobRun {
  const { submission, placement, timer, trace } = options;
  const bodies = new Map<number, string>();
  const notStarted = new Set<number>();
  const lost = new Set<number>();
  const ended = createDeferred<EndCause>();
  const allReported = createDeferred<undefined>();
  let failure: TaskResult | undefined;

  async function run(): Promise<Answer> {
    const cancelTimer = timer.onAfter(options.startBefore - timer.wallMs(), () => {
      ended.resolve('deadline');
    });
    placement.open(
      {
        id: submission.id,
        service: submission.service,
        team: options.team,
        weight: options.weight,
        startBefore: options.startBefore,
        submittedAt: options.submittedAt,
        onResult,
        onLost,
      },
      options.tasks,
    );
    const cause = await ended.promise;
    cancelTimer();
    const answer = await createAnswer(cause);
    placement.end(submission.id);
    trace(
      'problem' in answer
        ? `Ended: ${answer.problem.title} (${answer.problem.outcome}).`
        : 'Ended complete.',
    );
    return answer;
  }

  function onResult(result: TaskResult): void {
    if (result.outcome === TaskOutcomes.NOT_STARTED) {
      notStarted.add(result.index);
      if (countReported() === submission.tasks.length) ended.resolve('deadline');
    } else if (result.outcome === TaskOutcomes.FAILED) {
      failure ??= result;
      trace(`Task ${taskName(result.index)} failed at ${result.endpoint ?? 'an endpoint'}.`);
      ended.resolve('failed');
    } else {
      bodies.set(result.index, result.body ?? 'null');
      if (bodies.size === submission.tasks.length) ended.resolve('complete');
    }
    if (countReported() === submission.tasks.length) allReported.resolve(undefined);
  }

  function onLost(index: number): void {
    lost.add(index);
    trace(`Task ${taskName(index)} was lost with its instance.`);
    ended.resolve('lost');
  }

  function countReported(): number {
    return bodies.size + notStarted.size + lost.size + (failure === undefined ? 0 : 1);
  }

  async function createAnswer(cause: EndCause): Promise<Answer> {
    if (cause === 'complete') return completeAnswer();
    placement.drop(submission.id);
    return problems.toAnswer(submission.id, await findProblem(cause));
  }

  async function findProblem(cause: Exclude<EndCause, 'complete'>): Promise<Problem> {
    if (cause === 'failed' && failure !== undefined) {
      return problems.taskFailed(taskName(failure.index), failure.detail ?? 'failed');
    }
    if (cause === 'lost') return problems.tasksLost(lost.size, findOutcome());
    await Promise.race([allReported.promise, timer.sleep(REPORT_TIMEOUT_MS)]);
    const outcome = findOutcome();
    return cause === 'cancelled' ? problems.cancelled(outcome) : problems.deadlinePassed(outcome);
  }

  function findOutcome(): Outcome {
    if (bodies.size > 0 || failure !== undefined) return Outcomes.FAILED;
    return notStarted.size === submission.tasks.length ? Outcomes.NOT_RUN : Outcomes.MAY_HAVE_RUN;
  }

  function completeAnswer(): Answer {
    const answers: TaskAnswer[] = submission.tasks.map((task, index) => ({
      name: task.name,
      body: bodies.get(index) ?? 'null',
    }));
    const bytes = answers.reduce((total, one) => total + Buffer.byteLength(one.body), 0);
    if (bytes > MAX_ANSWER_BYTES)
      return problems.toAnswer(submission.id, problems.answerTooLarge());
    return { id: submission.id, answers };
  }

  function taskName(index: number): string {
    return submission.tasks[index]?.name ?? String(index);
  }

  return {
    run,
    cancel() {
      trace('Cancelled.');
      ended.resolve('cancelled');
    },
    endedTasks: () => bodies.size,
  };
}
