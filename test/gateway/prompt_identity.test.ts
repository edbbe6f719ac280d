/** Ids of whole prompts. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  isPromptId,
  listSuspectIds,
  tryCreatePromptId,
} from '../../src/gateway/prompt_identity';
import type {ModelRequest} from '../../src/gateway/types';

function createModel(...parts: ReadonlyArray<[string, number]>): ModelRequest {
  return {
    promptTokens: 300,
    maxOutputTokens: 9,
    parts: parts.map(([id, tokens]) => ({id, tokens})),
  };
}

test('prompts have the same id only with the same parts in the same order', () => {
  const promptId = tryCreatePromptId(createModel(['a', 1], ['b', 2]));
  assert.equal(tryCreatePromptId(createModel(['a', 1], ['b', 2])), promptId);
  const others = [
    createModel(['b', 2], ['a', 1]),
    createModel(['a', 1], ['b', 3]),
    createModel(['a', 1], ['c', 2]),
    createModel(['a', 1]),
    createModel(['a', 1], ['b', 2], ['c', 3]),
  ];
  const ids = [promptId, ...others.map(tryCreatePromptId)];
  assert.equal(new Set(ids).size, ids.length);
});

test('the last part of a prompt is no suspect of its own, but its whole prompt is', () => {
  const [part, promptId, ...rest] = listSuspectIds(
    createModel(['shared', 1], ['own', 2]),
  );
  assert.equal(part, 'shared');
  assert.equal(isPromptId(part), false);
  assert.equal(isPromptId(promptId), true);
  assert.deepEqual(rest, []);
});

test('a prompt without parts has no suspects', () => {
  assert.deepEqual(listSuspectIds(createModel()), []);
});
