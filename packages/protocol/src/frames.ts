/**
 * Length-prefixed frames on a TCP stream: a big-endian 32-bit length followed by a CBOR body. The
 * property names in `keyMap` are encoded as small integers.
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

/** Encodes a value as one frame. Throws FRAME_TOO_LARGE. */
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

/** Decodes the frames of a byte stream until it ends. Throws FRAME_TOO_LARGE or FRAME_MALFORMED. */
export async function* decodeFrames(chunks: AsyncIterable<Buffer>): AsyncGenerator<unknown> {
  const decoder = createFrameDecoder();
  for await (const chunk of chunks) {
    yield* decoder.push(chunk);
  }
}

export interface FrameDecoder {
  /** Adds a chunk and returns the values of all frames that it completes. */
  push(chunk: Buffer): unknown[];
}

export function createFrameDecoder(): FrameDecoder {
  let pendingChunks: Buffer[] = [];
  let pendingBytes = 0;
  let neededBytes = HEADER_BYTES;

  function joinPending(): Buffer {
    const joined =
      pendingChunks.length === 1 && pendingChunks[0]
        ? pendingChunks[0]
        : Buffer.concat(pendingChunks);
    pendingChunks = [joined];
    return joined;
  }

  function push(chunk: Buffer): unknown[] {
    pendingChunks.push(chunk);
    pendingBytes += chunk.length;
    const values: unknown[] = [];
    // Joins chunks only when a complete frame may have arrived. Otherwise a large frame on a slow
    // connection would be copied once for every chunk.
    while (pendingBytes >= neededBytes) {
      const buffer = joinPending();
      const length = buffer.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) {
        throw new ProtocolError(ErrorCodes.FRAME_TOO_LARGE, `${length} bytes announced`);
      }
      const frameEnd = HEADER_BYTES + length;
      if (pendingBytes < frameEnd) {
        neededBytes = frameEnd;
        break;
      }
      values.push(decodeBody(buffer.subarray(HEADER_BYTES, frameEnd)));
      pendingChunks = [buffer.subarray(frameEnd)];
      pendingBytes -= frameEnd;
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
