/** Builds build/anvilstack: a single executable that contains Node.js and the bundled program. */
import {execFileSync} from 'node:child_process';
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  readFileSync,
  writeFileSync,
} from 'node:fs';
import {build} from 'esbuild';
import {textImports} from './text_imports.mjs';

const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const BUNDLE = 'build/anvilstack.cjs';
const BLOB = 'build/anvilstack.blob';
const BINARY = 'build/anvilstack';

function getCommit() {
  try {
    return execFileSync('git', ['rev-parse', '--short', 'HEAD'], {
      encoding: 'utf8',
    }).trim();
  } catch {
    return 'unknown';
  }
}

mkdirSync('build', {recursive: true});
const {version} = JSON.parse(readFileSync('package.json', 'utf8'));
await build({
  entryPoints: ['src/main.ts'],
  outfile: BUNDLE,
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  mainFields: ['module', 'main'],
  logLevel: 'warning',
  plugins: [textImports],
  define: {
    ANVILSTACK_VERSION: JSON.stringify(version),
    ANVILSTACK_COMMIT: JSON.stringify(getCommit()),
  },
});
const seaConfig = 'build/sea_config.json';
writeFileSync(
  seaConfig,
  JSON.stringify({
    main: BUNDLE,
    output: BLOB,
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', seaConfig]);
copyFileSync(process.execPath, BINARY);
chmodSync(BINARY, 0o755);
execFileSync('node_modules/.bin/postject', [
  BINARY,
  'NODE_SEA_BLOB',
  BLOB,
  '--sentinel-fuse',
  SENTINEL_FUSE,
]);
console.log(`built ${BINARY}`);
