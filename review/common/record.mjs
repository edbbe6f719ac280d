/** Collects what was sent, answered and run, and writes it as text. */
import {writeFileSync} from 'node:fs';

export function createRecord(path) {
  const startedAt = performance.now();
  const lines = [];
  return {
    add: text => {
      const seconds = (performance.now() - startedAt) / 1_000;
      lines.push(`${seconds.toFixed(4).padStart(9)} ${text}`);
    },
    write: summary => {
      writeFileSync(path, [...summary, '', ...lines, ''].join('\n'));
    },
  };
}
