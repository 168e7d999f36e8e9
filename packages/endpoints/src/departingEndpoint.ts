/**
 * An endpoint that gets no new tasks but may still run some: it leaves, or it has left the list. The
 * dispatcher shares these endpoints with the other instances, because the next dispatcher may no
 * longer find them in any list.
 */
import { z } from 'zod';
import { endpointEntrySchema, type EndpointEntry } from './leasedEndpoint.js';

export const departingEndpointSchema = z.object({
  entry: endpointEntrySchema,
  /** Ids of the jobs that may have runs there; absent if any job may have some. */
  jobs: z.array(z.string()).optional(),
});

export interface DepartingEndpoint {
  readonly entry: EndpointEntry;
  readonly jobs?: readonly string[] | undefined;
}
