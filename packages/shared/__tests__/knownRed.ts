/** Tests listed in KNOWN-RED.txt, whose failures `scripts/test.mjs` tolerates. */
const known = JSON.parse(process.env['CELERYBARROW_KNOWN_RED'] ?? '[]') as readonly string[];

/** Returns test options with which a failure of a listed test is printed and tolerated. */
export function toleratesKnownRed(name: string): { readonly todo: boolean } {
  return { todo: known.includes(name) };
}
