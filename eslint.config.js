import eslint from '@eslint/js';
import tseslint from 'typescript-eslint';
import { layers } from './scripts/layers.mjs';

// Imports between packages point one way only; scripts/layers.mjs lists the allowed ones.
const layerRules = Object.entries(layers).map(([name, allowed]) => ({
  files: [`packages/${name}/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: Object.keys(layers)
          .filter((other) => other !== name && !allowed.includes(other))
          .map((other) => ({
            group: [`@celerybarrow/${other}`],
            message: `${name} may not import ${other}`,
          })),
      },
    ],
  },
}));

export default tseslint.config(
  { ignores: ['**/dist/', 'results/', 'target/'] },
  eslint.configs.recommended,
  tseslint.configs.strict,
  tseslint.configs.stylistic,
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    languageOptions: { parserOptions: { projectService: true } },
    rules: {
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            { from: 'package', name: ['describe', 'it'], package: 'node:test' },
          ],
        },
      ],
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/await-thenable': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
    },
  },
  {
    files: ['**/*.mjs', '**/*.js'],
    languageOptions: { globals: { process: 'readonly', console: 'readonly' } },
  },
  ...layerRules,
);
