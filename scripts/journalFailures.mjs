// Lists the days of journal entries that failed: a broken rule, a figure below its floor, a fault, or
// an entry whose run has not ended. Arguments are the ids of entries; without any, all are read.
import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';

const JOURNAL = 'journal';

function readEntries(ids) {
  return readdirSync(JOURNAL)
    .filter((name) => name.endsWith('.json'))
    .filter((name) => ids.length === 0 || ids.some((id) => name.endsWith(`-${id}.json`)))
    .sort()
    .map((name) => JSON.parse(readFileSync(join(JOURNAL, name), 'utf8')));
}

function failuresOf(day) {
  const rules = Object.entries(day.rules ?? {}).map(([rule, times]) => `${rule} ${times} times`);
  const fault = day.fault ? [`fault: ${String(day.fault).split('\n', 1)[0]}`] : [];
  const short = (day.short ?? []).filter((text) => !text.startsWith('fault: '));
  const found = [...rules, ...fault, ...short];
  return found.length === 0 && day.gate === false ? ['gate failed'] : found;
}

function describe(entry) {
  const about = `${entry.id} ${entry.cmd} ${entry.site ?? ''} on ${entry.head.slice(0, 7)}`;
  const lines = (entry.days ?? [])
    .filter((day) => day !== null)
    .flatMap((day) => failuresOf(day).map((failure) => `${about}: ${day.name}: ${failure}`));
  const hasEnded = entry.at[1] !== '' && entry.ok !== false;
  return hasEnded ? lines : [`${about}: the run did not finish`, ...lines];
}

const ids = process.argv.slice(2);
const entries = readEntries(ids);
const days = entries.reduce((sum, entry) => sum + (entry.days ?? []).length, 0);
const failures = entries.flatMap(describe);
for (const line of failures) console.log(line);
console.log(`${entries.length} entries, ${days} days, ${failures.length} failures`);
process.exitCode = ids.length > 0 && failures.length > 0 ? 1 : 0;
