/** Parses a document from another instance. Returns undefined if the text is not JSON. */
export function parseDocument(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
