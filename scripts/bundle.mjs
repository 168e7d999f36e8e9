// Bundles the entry point for the users' platform from its sources into one file. A single file
// starts quickly, and the build writes nothing outside target/.
import { createRequire } from 'node:module';
import { build } from 'esbuild';

const resolve = createRequire(import.meta.url).resolve;

// Reduces undici to its client, connection pool and error classes, the only parts that are used. Loading
// the rest of undici (fetch, caches, mocks, websockets) takes most of the startup time.
const poolOnly = {
  name: 'pool-only',
  setup(build) {
    build.onResolve({ filter: /^undici$/ }, () => ({ path: 'undici', namespace: 'pool-only' }));
    build.onLoad({ filter: /.*/, namespace: 'pool-only' }, () => ({
      contents: ['Client: dispatcher/client', 'Pool: dispatcher/pool', 'errors: core/errors']
        .map((spec) => spec.split(': '))
        .map(([name, file]) => [name, JSON.stringify(resolve(`undici/lib/${file}.js`))])
        .map(([name, file]) => `exports.${name} = require(${file});`)
        .join('\n'),
      resolveDir: '.',
    }));
  },
};

// Stubs modules that dependencies load but this program never uses: HTTP/2, and cbor-extract, a
// native string decoder. Its binary cannot be found from a bundle, and cbor-x works without it.
const unusedModules = {
  name: 'unused',
  setup(build) {
    const contents = { './client-h2.js': '', 'cbor-extract': 'throw new Error("not bundled");' };
    const filter = /^(\.\/client-h2\.js|cbor-extract)$/;
    build.onResolve({ filter }, ({ path }) => ({ path, namespace: 'unused' }));
    build.onLoad({ filter: /.*/, namespace: 'unused' }, ({ path }) => ({
      contents: contents[path],
    }));
  },
};

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/celerybarrow.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  minifyWhitespace: true,
  tsconfig: 'platform/tsconfig.bundle.json',
  plugins: [poolOnly, unusedModules],
  logLevel: 'warning',
});
