/**
 * Counts messages and bytes between instances, by message type. Payload bytes are the text written
 * by callers and endpoints (names, kinds, payloads and bodies); all other bytes of a frame are
 * control bytes.
 */
import type { Answer, RequestBody, RequestType } from './messages.js';

export interface TrafficCount {
  messages: number;
  controlBytes: number;
  payloadBytes: number;
}

export interface Traffic {
  countSent(type: string, frameBytes: number, payloadBytes: number): void;
  countReceived(type: string, frameBytes: number): void;
  sent(): Record<string, TrafficCount>;
  received(): Record<string, TrafficCount>;
}

export function createTraffic(): Traffic {
  const sent = new Map<string, TrafficCount>();
  const received = new Map<string, TrafficCount>();
  return {
    countSent(type, frameBytes, payloadBytes) {
      addCount(sent, type, frameBytes - payloadBytes, payloadBytes);
    },
    countReceived(type, frameBytes) {
      addCount(received, type, frameBytes, 0);
    },
    sent: () => Object.fromEntries(sent),
    received: () => Object.fromEntries(received),
  };
}

function addCount(
  counts: Map<string, TrafficCount>,
  type: string,
  controlBytes: number,
  payloadBytes: number,
): void {
  const total = counts.get(type) ?? { messages: 0, controlBytes: 0, payloadBytes: 0 };
  total.messages += 1;
  total.controlBytes += controlBytes;
  total.payloadBytes += payloadBytes;
  counts.set(type, total);
}

/** Returns the payload bytes in a request body: text of callers and endpoints. */
export function requestPayloadBytes<T extends RequestType>(type: T, body: RequestBody<T>): number {
  switch (type) {
    case 'submit':
      return sumLengths(
        (body as RequestBody<'submit'>).submission.tasks.flatMap((task) => [
          task.name,
          task.kind,
          task.payload,
        ]),
      );
    case 'batch':
      return sumLengths(
        (body as RequestBody<'batch'>).tasks.flatMap((task) => [
          task.name,
          task.kind,
          task.payload,
        ]),
      );
    case 'dispatch':
      return Buffer.byteLength((body as RequestBody<'dispatch'>).job.payload);
    case 'results':
      return sumLengths(
        (body as RequestBody<'results'>).results.map((result) => result.body ?? ''),
      );
    default:
      return 0;
  }
}

/** Returns the payload bytes in a reply: task names and bodies from endpoints. */
export function replyPayloadBytes(reply: unknown): number {
  const answer = (reply as { answer?: Answer }).answer;
  if (answer === undefined || !('answers' in answer)) return 0;
  return sumLengths(answer.answers.flatMap((taskAnswer) => [taskAnswer.name, taskAnswer.body]));
}

function sumLengths(texts: readonly string[]): number {
  return texts.reduce((sum, text) => sum + Buffer.byteLength(text), 0);
}
