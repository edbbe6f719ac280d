/** Copies the files of an example deployment and replaces their ports by free ones. */
import {
  cpSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {listFreePorts} from './program';

/** A copy of an example deployment. */
export interface ExampleFiles {
  readonly directory: string;
  /** Returns the address on this machine for one of the example's ports. */
  getAddress(port: number): string;
}

const PORT_PATTERN = /127\.0\.0\.1:(\d{4,5})/g;

/** Copies the deployment to a temporary directory; nothing but the ports differs. */
export async function createExampleFiles(
  deployment: string,
): Promise<ExampleFiles> {
  const directory = mkdtempSync(join(tmpdir(), 'anvilstack-example-'));
  cpSync(`examples/${deployment}`, directory, {recursive: true});
  const files = readdirSync(directory)
    .filter(name => name.endsWith('.toml'))
    .map(name => join(directory, name));
  const texts = files.map(file => readFileSync(file, 'utf8'));
  const used = new Set(
    texts.flatMap(text =>
      [...text.matchAll(PORT_PATTERN)].map(match => match[1]),
    ),
  );
  const free = await listFreePorts(used.size);
  const ports = new Map([...used].map((port, index) => [port, free[index]]));
  files.forEach((file, index) => {
    const text = texts[index].replace(
      PORT_PATTERN,
      (_, port: string) => `127.0.0.1:${ports.get(port)}`,
    );
    writeFileSync(file, text);
  });
  return {
    directory,
    getAddress: port => `http://127.0.0.1:${ports.get(String(port))}`,
  };
}
