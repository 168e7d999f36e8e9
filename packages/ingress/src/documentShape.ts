/**
 * Measures a JSON text without parsing it into objects. Handles documents of legal size made of very
 * many short fields, whose objects need many times the memory and time of their text. The text need
 * not be valid: the measures of a valid text are right, and the parser rejects an invalid one.
 */

export interface DocumentShape {
  /**
   * Commas and opening brackets, which is at least the number of objects and arrays and about the
   * number of values. Each needs two bytes of text.
   */
  readonly elements: number;
  /** Items of the longest array in a counted field. */
  readonly items: number;
}

/** A field whose items are counted, at the depth of its object; the outermost object has depth 1. */
export interface CountedField {
  readonly name: string;
  readonly depth: number;
}

export interface ShapeLimits {
  readonly elements: number;
  readonly depth: number;
  readonly items: number;
}

export const ShapeFaults = {
  ELEMENTS: 'too many values',
  DEPTH: 'nested too deeply',
  ITEMS: 'too many items',
} as const;
export type ShapeFault = (typeof ShapeFaults)[keyof typeof ShapeFaults];

export interface MeasuredDocument extends DocumentShape {
  /** The first limit that the text exceeds; the measures end there. */
  readonly fault: ShapeFault | undefined;
}

const QUOTE = 0x22;
const COMMA = 0x2c;
const COLON = 0x3a;
const OPEN_ARRAY = 0x5b;
const BACKSLASH = 0x5c;
const CLOSE_ARRAY = 0x5d;
const OPEN_OBJECT = 0x7b;
const CLOSE_OBJECT = 0x7d;
/** Characters of text for one escaped character of a key. */
const MAX_ESCAPE_CHARACTERS = 6;

export function measureDocument(
  text: string,
  limits: ShapeLimits,
  countedFields: readonly CountedField[],
): MeasuredDocument {
  /** Items of the open array at a depth; only of arrays in counted fields. */
  const itemsByDepth: (number | undefined)[] = [];
  const hasEscapes = text.includes('\\');
  let elements = 0;
  let depth = 0;
  let items = 0;
  let isCountedNext = false;
  let stringStart = 0;
  let stringEnd = 0;

  function isCountedKey(): boolean {
    for (const { name, depth: fieldDepth } of countedFields) {
      if (depth !== fieldDepth) continue;
      const length = stringEnd - stringStart;
      if (length === name.length && text.startsWith(name, stringStart)) return true;
      if (!hasEscapes || length > name.length * MAX_ESCAPE_CHARACTERS) continue;
      if (unescape(text.slice(stringStart, stringEnd)) === name) return true;
    }
    return false;
  }

  function countItem(): void {
    const count = itemsByDepth[depth];
    if (count === undefined) return;
    itemsByDepth[depth] = count + 1;
    if (count >= items) items = count + 1;
  }

  function findFault(): ShapeFault | undefined {
    if (depth > limits.depth) return ShapeFaults.DEPTH;
    if (items > limits.items) return ShapeFaults.ITEMS;
    return elements > limits.elements ? ShapeFaults.ELEMENTS : undefined;
  }

  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    if (code === QUOTE) {
      stringStart = index + 1;
      stringEnd = findStringEnd(text, stringStart);
      index = stringEnd;
    } else if (code === COLON) {
      isCountedNext = isCountedKey();
    } else if (code === CLOSE_ARRAY || code === CLOSE_OBJECT) {
      itemsByDepth[depth] = undefined;
      depth -= 1;
      // Nothing of a valid text follows the end of its value.
      if (depth <= 0) break;
    } else if (code === COMMA || code === OPEN_ARRAY || code === OPEN_OBJECT) {
      elements += 1;
      if (code !== COMMA) {
        depth += 1;
        if (isCountedNext && code === OPEN_ARRAY) itemsByDepth[depth] = 0;
      }
      isCountedNext = false;
      countItem();
      const fault = findFault();
      if (fault !== undefined) return { elements, items, fault };
    }
  }
  return { elements, items, fault: undefined };
}

/** Returns the position of the quotation mark that ends a string, or the length of the text. */
function findStringEnd(text: string, start: number): number {
  for (let from = start; ;) {
    const end = text.indexOf('"', from);
    if (end === -1) return text.length;
    let backslashes = 0;
    while (end - backslashes > start && text.charCodeAt(end - backslashes - 1) === BACKSLASH)
      backslashes += 1;
    if (backslashes % 2 === 0) return end;
    from = end + 1;
  }
}

function unescape(key: string): string {
  if (!key.includes('\\')) return key;
  try {
    return String(JSON.parse(`"${key}"`));
  } catch {
    return key;
  }
}
