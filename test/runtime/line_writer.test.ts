/** Log lines are written in order and completely, or counted. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createLineWriter, type WriteBytes} from '../../src/runtime/line_writer';

const DRAIN_MS = 5_000;

/** A file descriptor that takes a limited number of bytes at once, later than the call. */
function createDescriptor(maxBytes = 1_000) {
  let text = '';
  const errors: string[] = [];
  const write: WriteBytes = (bytes, callback) => {
    setImmediate(() => {
      const code = errors.shift();
      if (code !== undefined) {
        callback(Object.assign(new Error(code), {code}), 0);
        return;
      }
      const taken = bytes.subarray(0, maxBytes);
      text += taken.toString();
      callback(null, taken.length);
    });
  };
  return {write, errors, getText: () => text};
}

test('lines that are queued when the process stops are written before drain resolves', async () => {
  const descriptor = createDescriptor();
  const lines = createLineWriter({write: descriptor.write});
  for (let count = 1; count <= 5; count++) lines.write(`line ${count}`);
  await lines.drain(DRAIN_MS);
  assert.equal(
    descriptor.getText(),
    'line 1\nline 2\nline 3\nline 4\nline 5\n',
  );
});

test('a partial write is continued where it ended', async () => {
  const descriptor = createDescriptor(3);
  const lines = createLineWriter({write: descriptor.write});
  lines.write('first line');
  lines.write('second line');
  await lines.drain(DRAIN_MS);
  assert.equal(descriptor.getText(), 'first line\nsecond line\n');
});

test('a write that a full pipe refuses is repeated', async () => {
  const descriptor = createDescriptor();
  descriptor.errors.push('EAGAIN', 'EAGAIN');
  const lines = createLineWriter({write: descriptor.write});
  lines.write('line');
  await lines.drain(DRAIN_MS);
  assert.equal(descriptor.getText(), 'line\n');
});

test('lines that could not be written or queued are counted in the next batch', async () => {
  const descriptor = createDescriptor();
  descriptor.errors.push('EIO', 'EIO');
  const lines = createLineWriter({write: descriptor.write, maxQueuedLines: 2});
  lines.write('lost');
  await lines.drain(DRAIN_MS);
  lines.write('lost too');
  for (const line of ['kept', 'kept too', 'too many']) lines.write(line);
  await lines.drain(DRAIN_MS);
  lines.write('last');
  await lines.drain(DRAIN_MS);
  const dropped = descriptor
    .getText()
    .match(/"droppedCount":(\d+)/g)
    ?.map(text => Number(text.split(':')[1]));
  const kept = descriptor.getText().match(/^(kept|kept too|last)$/gm) ?? [];
  const total = (dropped ?? []).reduce((sum, count) => sum + count, 0);
  assert.equal(total + kept.length, 6);
});
