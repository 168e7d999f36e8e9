/** Writes results to standard output, and progress to standard error if it is a terminal. */
export interface Terminal {
  /** Prints the result as JSON if JSON output is enabled, or the lines otherwise. */
  print(result: unknown, lines: readonly string[]): void;
  /**
   * Replaces the progress line. Does nothing if the output is JSON or standard error is not a
   * terminal.
   */
  progress(text: string): void;
  /** Clears the progress line. */
  endProgress(): void;
}

export function createTerminal(isJson: boolean): Terminal {
  const isInteractive = process.stderr.isTTY && !isJson;
  let hasProgressLine = false;

  return {
    print(result, lines) {
      const text = isJson ? JSON.stringify(result, undefined, 2) : lines.join('\n');
      process.stdout.write(`${text}\n`);
    },
    progress(text) {
      if (!isInteractive) return;
      hasProgressLine = true;
      process.stderr.write(`\r\u001b[K${text}`);
    },
    endProgress() {
      if (hasProgressLine) process.stderr.write('\r\u001b[K');
      hasProgressLine = false;
    },
  };
}

/** Formats rows as a table of aligned columns with headings. */
export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): string[] {
  const allRows = [headings, ...rows];
  const widths = headings.map((_, column) =>
    Math.max(...allRows.map((row) => (row[column] ?? '').length)),
  );
  return allRows.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}
