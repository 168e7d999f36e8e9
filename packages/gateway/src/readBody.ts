/** Reads the body of a request up to a limit. */
import type { IncomingMessage } from 'node:http';
import { Result } from 'true-myth';

export const BodyFaults = { TOO_LARGE: 'too-large', ABORTED: 'aborted' } as const;
export type BodyFault = (typeof BodyFaults)[keyof typeof BodyFaults];

/** Collects the body as UTF-8 text; what exceeds the limit is not kept. */
export async function readBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Result<string, BodyFault>> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes > limitBytes) return Result.err(BodyFaults.TOO_LARGE);
      chunks.push(chunk);
    }
  } catch {
    return Result.err(BodyFaults.ABORTED);
  }
  return Result.ok(Buffer.concat(chunks).toString('utf8'));
}
