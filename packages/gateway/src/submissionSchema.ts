/** Schema of a submission as sent by callers. */
import { z } from 'zod';
import { readCreationTime } from '@celerybarrow/shared';

export const MAX_TASKS_PER_JOB = 140;
const MAX_NAME_LENGTH = 128;

const name = z.string().min(1).max(MAX_NAME_LENGTH);

const creationTime = z.union([
  z.number().nonnegative(),
  z
    .string()
    .datetime({ offset: true })
    .transform((text) => Date.parse(text)),
]);

const taskSchema = z.object({ name, kind: name, payload: z.unknown() }).strict();

export const callerSubmissionSchema = z
  .object({
    id: name.regex(/^[\x21-\x7e]+$/, 'must be printable ASCII without spaces'),
    service: name,
    home: name.optional(),
    createdAt: creationTime.optional(),
    deadlineMs: z.number().positive().optional(),
    tasks: z.array(taskSchema).min(1).max(MAX_TASKS_PER_JOB),
  })
  .strict()
  .superRefine((submission, context) => {
    const names = new Set(submission.tasks.map((task) => task.name));
    if (names.size !== submission.tasks.length) {
      context.addIssue({ code: 'custom', path: ['tasks'], message: 'task names must differ' });
    }
    if (submission.createdAt === undefined && readCreationTime(submission.id) === undefined) {
      context.addIssue({
        code: 'custom',
        path: ['createdAt'],
        message: 'give createdAt, or an id that is a UUIDv7',
      });
    }
  });

export type CallerSubmission = z.infer<typeof callerSubmissionSchema>;
