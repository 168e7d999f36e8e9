/** Refusals of requests that were not handed on: nothing ran and nothing will. */
export interface Refusal {
  readonly status: 400 | 413 | 417 | 503;
  readonly reason: string;
}

export const Refusals = {
  TOO_LARGE: { status: 413, reason: 'body is too large' },
  MALFORMED_BODY: { status: 400, reason: 'body is malformed' },
  READING_MEMORY: { status: 503, reason: 'too many bodies are being read' },
  WORK_MEMORY: { status: 503, reason: 'too much work in hand' },
  QUEUE: { status: 503, reason: 'too many large bodies wait' },
  CHUNKS: { status: 503, reason: 'too many bodies in very small chunks' },
  ROOM: { status: 503, reason: 'too many connections' },
  SLOW: { status: 503, reason: 'the body did not arrive in time' },
  EXPECTATION: { status: 417, reason: 'the expectation is not supported' },
  INTERNAL: { status: 503, reason: 'the request could not be read' },
} as const satisfies Readonly<Record<string, Refusal>>;

const RETRY_AFTER_S = [1, 2, 3];
let refusalCount = 0;

/** Spreads the retries of refused callers over a few seconds. */
export function nextRetryAfterS(): number {
  refusalCount += 1;
  return RETRY_AFTER_S[refusalCount % RETRY_AFTER_S.length] ?? 1;
}
