// Lists the failures of the days in the journal entries: violated rules, figures below their
// minimum, faults, and runs that did not finish. The arguments are entry ids; without arguments,
// the script reads all entries.
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
  const shortfalls = (day.short ?? []).filter((text) => !text.startsWith('fault: '));
  const failures = [...rules, ...fault, ...shortfalls];
  return failures.length === 0 && day.gate === false ? ['gate failed'] : failures;
}

function describeFailures(entry) {
  const label = `${entry.id} ${entry.cmd} ${entry.site ?? ''} on ${entry.head.slice(0, 7)}`;
  const lines = (entry.days ?? [])
    .filter((day) => day !== null)
    .flatMap((day) => failuresOf(day).map((failure) => `${label}: ${day.name}: ${failure}`));
  const hasEnded = entry.at[1] !== '' && entry.ok !== false;
  return hasEnded ? lines : [`${label}: the run did not finish`, ...lines];
}

const ids = process.argv.slice(2);
const entries = readEntries(ids);
const days = entries.reduce((sum, entry) => sum + (entry.days ?? []).length, 0);
const failures = entries.flatMap(describeFailures);
for (const line of failures) console.log(line);
console.log(`${entries.length} entries, ${days} days, ${failures.length} failures`);
process.exitCode = ids.length > 0 && failures.length > 0 ? 1 : 0;
