/** Reads service files and reports every issue with its file, its line and how to fix it. */
import { LineCounter, parseDocument, type Document } from 'yaml';
import { Result } from 'true-myth';
import type { ZodIssue } from 'zod';
import { serviceFileSchema, type ServiceFile } from './schema.js';

export interface SourceText {
  readonly path: string;
  readonly text: string;
}

export interface FileIssue {
  readonly path: string;
  readonly line: number;
  /** What is wrong and how to fix it. */
  readonly message: string;
}

/** Parses and validates one service file; fails with all its issues. */
export function readServiceFile(source: SourceText): Result<ServiceFile, readonly FileIssue[]> {
  const lineCounter = new LineCounter();
  const document = parseDocument(source.text, { lineCounter, prettyErrors: false });
  if (document.errors.length > 0) {
    return Result.err(
      document.errors.map((error) => ({
        path: source.path,
        line: lineCounter.linePos(error.pos[0]).line,
        message: `not valid YAML: ${error.message}`,
      })),
    );
  }
  const parsed = serviceFileSchema.safeParse(document.toJS());
  if (parsed.success) return Result.ok(parsed.data);
  return Result.err(
    parsed.error.issues.map((issue) => ({
      path: source.path,
      line: findLine(document, lineCounter, issue.path),
      message: describeIssue(issue),
    })),
  );
}

function findLine(
  document: Document,
  lineCounter: LineCounter,
  path: readonly (string | number)[],
): number {
  for (let depth = path.length; depth > 0; depth -= 1) {
    const node = document.getIn(path.slice(0, depth), true);
    const range = (node as { range?: [number, number, number] } | undefined)?.range;
    if (range !== undefined) return lineCounter.linePos(range[0]).line;
  }
  return 1;
}

function describeIssue(issue: ZodIssue): string {
  const location = issue.path.join('.') || 'the file';
  if (issue.code === 'unrecognized_keys') {
    return `${location} has the unknown key ${issue.keys.join(', ')}; remove it or correct its spelling`;
  }
  if (issue.code === 'invalid_type' && issue.received === 'undefined') {
    return `${location} is missing; add it as ${issue.expected}`;
  }
  if (issue.code === 'invalid_type') {
    return `${location} is ${issue.received}; give it as ${issue.expected}`;
  }
  return `${location}: ${issue.message}; correct the value`;
}
