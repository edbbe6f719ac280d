/** Checks that the pages generated from the sources are up to date. */
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {messages, renderMessagesPage} from '../../src/diagnostics';
import {renderSettingsReference} from '../../src/settings';

test('the settings reference matches the schemas (if not, run: npm run docs)', () => {
  const page = readFileSync('docs/operators/settings_reference.md', 'utf8');
  assert.equal(page, renderSettingsReference());
});

test('the messages page matches the message table (if not, run: npm run docs)', () => {
  const page = readFileSync('docs/operators/messages.md', 'utf8');
  assert.equal(page, renderMessagesPage(Object.values(messages)));
});

test('message codes are unique', () => {
  const codes = Object.values(messages).map(item => item.code);
  assert.equal(new Set(codes).size, codes.length);
});
