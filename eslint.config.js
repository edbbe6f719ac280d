import {createRequire} from 'node:module';
import {defineConfig} from 'eslint/config';
import {namingPlugin} from './scripts/eslint_naming.mjs';

const require = createRequire(import.meta.url);
const gts = require('gts');

export default defineConfig([
  {ignores: ['build/', 'node_modules/', 'coverage/']},
  ...gts,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {project: './tsconfig.json', sourceType: 'module'},
    },
    plugins: {naming: namingPlugin},
    rules: {
      'naming/function-verb': 'error',
      'naming/file-name': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      'n/no-unpublished-import': 'off',
      'n/no-missing-import': 'off',
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            {
              from: 'package',
              package: 'node:test',
              name: ['test', 'it', 'describe', 'suite'],
            },
          ],
        },
      ],
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Use named exports.',
        },
        {
          selector: 'TSEnumDeclaration',
          message: 'Use a constant object in place of an enum.',
        },
      ],
    },
  },
]);
