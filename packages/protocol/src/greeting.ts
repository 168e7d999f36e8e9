/**
 * The handshake: the first frame in each direction of a connection identifies the sender and its
 * protocol version.
 */
import type { SafeParseReturnType } from 'zod';
import { ErrorCodes } from '@celerybarrow/shared';
import { PROTOCOL_VERSION, type Greeting } from './messages.js';
import { ProtocolError } from './protocolError.js';

/**
 * Returns the greeting if it is valid. Throws MESSAGE_INVALID, VERSION_MISMATCH, or PEER_REPLACED
 * when the peer at the address is not the expected incarnation.
 */
export function checkGreeting(
  parsed: SafeParseReturnType<unknown, Greeting>,
  expectedIncarnation?: string,
): Greeting {
  if (!parsed.success) throw new ProtocolError(ErrorCodes.MESSAGE_INVALID, 'greeting');
  const greeting = parsed.data;
  if (greeting.version !== PROTOCOL_VERSION) {
    throw new ProtocolError(ErrorCodes.VERSION_MISMATCH, `version ${greeting.version}`);
  }
  if (expectedIncarnation !== undefined && greeting.incarnation !== expectedIncarnation) {
    throw new ProtocolError(ErrorCodes.PEER_REPLACED, greeting.instance);
  }
  return greeting;
}
