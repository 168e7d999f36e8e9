import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RunStates } from '@celerybarrow/endpoints';
import { JobStates } from '@celerybarrow/protocol';
import { describeEnd, describeUnserved } from '../src/describeOutcome.js';
import { createJobRecord, type JobRecord } from '../src/jobRecord.js';

const MAX_LINE_CHARACTERS = 600;
const TASKS = 4_000;
const NOW_MS = 9_999_999.123_456;

/** Returns an unserved job whose every field has a value of many digits. */
function createLongestRecord(): JobRecord {
  const step = {
    tasks: TASKS,
    demand: { cores: 32_000, memoryMb: 64_000, accelerators: 0 },
    estimateMs: 29_999.123_456,
    after: [],
  };
  const job = {
    id: '000000000010007b',
    team: 'an-organisation-name',
    service: 's',
    priority: 10,
    maxAttempts: 2,
    objectiveStretch: 1.6,
    objectiveAllowanceMs: 60,
    payload: '',
    steps: [step],
    ageMs: 0,
    remainingMs: 29_999.123_456,
  };
  const options = {
    arrivedMs: NOW_MS - 29_999.654_321,
    criticalPathMs: 29_999.123_456,
    firstRun: 1,
    mayHaveRun: false,
    work: 123_456_789_012,
    size: 'largest-tenth' as const,
  };
  const record = createJobRecord(job, 'front-dublin-a-12', options, () => undefined);
  record.lengthSamples.set('a', {
    task: '0/0',
    step: 0,
    endpoint: 'i-0d3b186502',
    totalMs: 29_999.123_456,
    factor: 12.345_678,
  });
  record.firstStartMs = NOW_MS - 20_000.123_456;
  record.lastStartMs = NOW_MS - 10_000.123_456;
  record.lastEstimate = {
    atMs: NOW_MS - 12_345.678,
    waitMs: 12_345.678,
    runMs: 12_345.678,
    makespanMs: 12_345.678,
    workAhead: 123_456_789_012,
  };
  for (const task of record.tasks) {
    task.endpoint = 'i-0d3b186502';
    task.run = { state: RunStates.STOPPING, number: 12 } as NonNullable<typeof task.run>;
    task.restarts = 1;
    task.failures = 1;
  }
  return record;
}

/** Returns the length of a log line with the fields that the logger adds. */
function lineLength(message: string, context: object): number {
  return JSON.stringify({
    context: { part: 'dispatch', shard: 12, ...context, logLevel: 30 },
    message: `[dispatch] ${message}`,
    sequence: '12345678',
    time: 1_796_623_718_830,
    version: '2.0.0',
    instance: 'front-dublin-a-12',
  }).length;
}

describe('the log lines of a job that was not served', () => {
  // Guards against lines that grow with the fields and the tasks of a job.
  it('are bounded, whatever the numbers in them and the number of its runs', () => {
    const record = createLongestRecord();
    const reason = 'would wait 12345 ms and end in 12345 ms';
    const end = describeEnd(record, { state: JobStates.REFUSED, reason }, NOW_MS);
    const free = { endpoints: 1_234, slowness: 12.345_678, usable: 1_234, listed: 1_234 };
    const unserved = describeUnserved(record, free, NOW_MS);
    expect(lineLength('Job has ended.', end) < MAX_LINE_CHARACTERS).toEqual(true);
    expect(lineLength('Job was not served.', unserved) < MAX_LINE_CHARACTERS).toEqual(true);
    expect(unserved['runs']).toEqual(
      '0/0@i-0d3b186502#12 stopping 0/1@i-0d3b186502#12 stopping ' +
        '0/2@i-0d3b186502#12 stopping 0/3@i-0d3b186502#12 stopping +3996',
    );
  });
});
