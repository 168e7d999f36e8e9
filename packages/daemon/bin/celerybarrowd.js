#!/usr/bin/env node
// The log library looks at this variable once, while it is imported.
process.env.ROARR_LOG ??= 'true';
const { main } = await import('../dist/src/main.js');

await main(process.argv.slice(2));
