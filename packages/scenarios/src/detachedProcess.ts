/**
 * Starts processes in sessions of their own, which end with this one.
 *
 * Fault pattern: the shell that started a run ends while a process of the run is frozen. The process group
 * of the run is orphaned, and the kernel ends its stopped members with SIGHUP.
 */
import { spawn, type ChildProcess, type StdioOptions } from 'node:child_process';

const SIGNALS = ['SIGINT', 'SIGTERM'] as const;
const children = new Set<ChildProcess>();

export function startDetached(
  program: string,
  args: readonly string[],
  stdio: StdioOptions,
): ChildProcess {
  const child = spawn(program, args, { stdio, detached: true });
  killOnExit(child);
  return child;
}

/** A detached process does not get the signals of the terminal of this one. */
function killOnExit(child: ChildProcess): void {
  if (children.size === 0) {
    process.on('exit', killChildren);
    for (const signal of SIGNALS) process.on(signal, exit);
  }
  children.add(child);
  child.once('exit', () => {
    children.delete(child);
    if (children.size > 0) return;
    process.off('exit', killChildren);
    for (const signal of SIGNALS) process.off(signal, exit);
  });
}

function killChildren(): void {
  for (const child of children) child.kill('SIGKILL');
}

function exit(): void {
  process.exit(1);
}
