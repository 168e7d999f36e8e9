/** The first frame in each direction of a connection: who speaks, and in which version. */
import type { SafeParseReturnType } from 'zod';
import { ErrorCodes } from '@celerybarrow/shared';
import { PROTOCOL_VERSION, type Greeting } from './messages.js';
import { ProtocolError } from './protocolError.js';

/**
 * Returns a valid greeting. Throws MESSAGE_INVALID, VERSION_MISMATCH, or PEER_REPLACED when another
 * incarnation than the expected one answers at the address.
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
