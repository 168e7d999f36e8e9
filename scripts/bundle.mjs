// Bundles the entry point for the users' platform into one file, from sources, so that a process
// starts quickly and the build leaves nothing outside target/.
import { createRequire } from 'node:module';
import { build } from 'esbuild';

const resolve = createRequire(import.meta.url).resolve;

// A process needs the connection pool of the HTTP client only; the rest of that library (fetch,
// caches, mocks, websockets) takes most of the time that a start takes.
const poolOnly = {
  name: 'pool-only',
  setup(build) {
    build.onResolve({ filter: /^undici$/ }, () => ({ path: 'undici', namespace: 'pool-only' }));
    build.onLoad({ filter: /.*/, namespace: 'pool-only' }, () => ({
      contents: ['Pool: dispatcher/pool', 'errors: core/errors']
        .map((one) => one.split(': '))
        .map(([name, file]) => [name, JSON.stringify(resolve(`undici/lib/${file}.js`))])
        .map(([name, file]) => `exports.${name} = require(${file});`)
        .join('\n'),
      resolveDir: '.',
    }));
  },
};

// Parts that the libraries load and this product never uses: HTTP/2, and a native reader of strings
// whose absence its user expects (its binary is not found from a bundle).
const unused = {
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
  plugins: [poolOnly, unused],
  logLevel: 'warning',
});
