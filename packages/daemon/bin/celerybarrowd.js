#!/usr/bin/env node
// Roarr reads this variable only once, on import, so it must be set before the application is
// loaded.
process.env.ROARR_LOG ??= 'true';
const { main } = await import('../dist/src/main.js');

await main(process.argv.slice(2));
