import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { ErrorCodes } from '@celerybarrow/shared';
import { createFrameDecoder, encodeFrame, MAX_FRAME_BYTES, ProtocolError } from '../src/index.js';

const SEED = 20261204;

describe('frames', () => {
  it('decodes what was encoded, however the bytes are cut', () => {
    const values = fc.array(fc.jsonValue(), { maxLength: 5 });
    const cuts = fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1, maxLength: 20 });
    fc.assert(
      fc.property(values, cuts, (sent, sizes) => {
        const bytes = Buffer.concat(sent.map((value) => encodeFrame({ value })));
        const decoder = createFrameDecoder();
        const received: unknown[] = [];
        for (let start = 0, turn = 0; start < bytes.length; turn += 1) {
          const size = sizes[turn % sizes.length] ?? 1;
          received.push(...decoder.push(bytes.subarray(start, start + size)));
          start += size;
        }
        expect(JSON.stringify(received)).toEqual(JSON.stringify(sent.map((value) => ({ value }))));
      }),
      { seed: SEED, numRuns: 200 },
    );
  });

  it('answers garbage with a protocol error or a value, and nothing else', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (garbage) => {
        try {
          createFrameDecoder().push(Buffer.from(garbage));
        } catch (error) {
          expect(error).toBeA(ProtocolError);
        }
      }),
      { seed: SEED, numRuns: 2_000 },
    );
  });

  it('refuses a frame that announces more than the limit before it is read', () => {
    const header = Buffer.alloc(4);
    header.writeUInt32BE(MAX_FRAME_BYTES + 1);
    expect(() => createFrameDecoder().push(header)).toThrow(ProtocolError);
    try {
      createFrameDecoder().push(header);
    } catch (error) {
      expect((error as ProtocolError).code).toEqual(ErrorCodes.FRAME_TOO_LARGE);
    }
  });
});
