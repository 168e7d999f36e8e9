/**
 * How long it takes until the other instances know what a dispatcher shares about single endpoints.
 */

/**
 * Within this time the other instances receive a short document of a dispatcher, by a heartbeat that is
 * sent every 220 ms or more often.
 */
export const ANNOUNCEMENT_MS = 350;
/**
 * A new dispatcher shares nothing for this time, because it may lack the document of the earlier one
 * for some heartbeats.
 */
export const FIRST_ANNOUNCEMENT_MS = 500;
