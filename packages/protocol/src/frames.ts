/**
 * Frames on a TCP stream: four bytes of length, big-endian, then that many bytes of CBOR. Known
 * property names are sent as small integers.
 */
import { Encoder, FLOAT32_OPTIONS } from 'cbor-x';
import { ErrorCodes } from '@celerybarrow/shared';
import { keyMap } from './keyMap.js';
import { ProtocolError } from './protocolError.js';

export const MAX_FRAME_BYTES = 8 * 1024 * 1024;
const HEADER_BYTES = 4;

const codec = new Encoder({
  useRecords: false,
  keyMap,
  variableMapSize: true,
  useFloat32: FLOAT32_OPTIONS.DECIMAL_FIT,
});

/** Encodes one value as a frame. Throws FRAME_TOO_LARGE. */
export function encodeFrame(value: unknown): Buffer {
  const body = codec.encode(value);
  if (body.length > MAX_FRAME_BYTES) {
    throw new ProtocolError(ErrorCodes.FRAME_TOO_LARGE, `${body.length} bytes`);
  }
  const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, HEADER_BYTES);
  return frame;
}

/** Reads frames from chunks of bytes until the stream ends. Throws FRAME_TOO_LARGE or FRAME_MALFORMED. */
export async function* decodeFrames(chunks: AsyncIterable<Buffer>): AsyncGenerator<unknown> {
  const decoder = createFrameDecoder();
  for await (const chunk of chunks) {
    yield* decoder.push(chunk);
  }
}

export interface FrameDecoder {
  /** Adds bytes and returns the values of all frames that are now complete. */
  push(chunk: Buffer): unknown[];
}

export function createFrameDecoder(): FrameDecoder {
  let pending: Buffer[] = [];
  let pendingBytes = 0;
  let neededBytes = HEADER_BYTES;

  function joinPending(): Buffer {
    const joined = pending.length === 1 && pending[0] ? pending[0] : Buffer.concat(pending);
    pending = [joined];
    return joined;
  }

  function push(chunk: Buffer): unknown[] {
    pending.push(chunk);
    pendingBytes += chunk.length;
    const values: unknown[] = [];
    // Chunks are joined only when a whole frame may be there, so that a slow large frame is not
    // copied once for every chunk.
    while (pendingBytes >= neededBytes) {
      const buffer = joinPending();
      const length = buffer.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) {
        throw new ProtocolError(ErrorCodes.FRAME_TOO_LARGE, `${length} bytes announced`);
      }
      const end = HEADER_BYTES + length;
      if (pendingBytes < end) {
        neededBytes = end;
        break;
      }
      values.push(decodeBody(buffer.subarray(HEADER_BYTES, end)));
      pending = [buffer.subarray(end)];
      pendingBytes -= end;
      neededBytes = HEADER_BYTES;
    }
    return values;
  }

  return { push };
}

function decodeBody(body: Buffer): unknown {
  try {
    return codec.decode(body);
  } catch (error) {
    throw new ProtocolError(ErrorCodes.FRAME_MALFORMED, undefined, error);
  }
}
