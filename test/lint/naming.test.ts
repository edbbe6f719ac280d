/** The ESLint naming rules report wrong names. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Linter} from 'eslint';
import {namingPlugin} from '../../scripts/eslint_naming.mjs';

function listMessages(code: string, filename: string): string[] {
  const linter = new Linter();
  const config = {
    files: ['**/*.ts'],
    plugins: {naming: namingPlugin as never},
    rules: {'naming/function-verb': 'error', 'naming/file-name': 'error'},
  } as const;
  return linter
    .verify(code, config as never, {filename})
    .map(message => message.message);
}

test('a nested function whose name does not begin with a listed verb is reported', () => {
  const code = 'export function getA() { function whatever() {} whatever(); }';
  const messages = listMessages(code, 'src/good_name.ts');
  assert.equal(messages.length, 1);
  assert.match(messages[0], /"whatever"/);
});

test('a file whose name is not snake_case is reported', () => {
  const messages = listMessages('export function getA() {}', 'src/BadName.ts');
  assert.deepEqual(messages, ['File name "BadName.ts" is not snake_case.']);
});
