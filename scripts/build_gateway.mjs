/**
 * Builds target/anvilstack.cjs: a loader, beside it the program, which is only the gateway
 * bundled into one small file, and V8's code cache of it, so that it starts quickly.
 */
import {execFileSync} from 'node:child_process';
import {copyFileSync, rmSync} from 'node:fs';
import {resolve} from 'node:path';
import {build} from 'esbuild';

/** The flags of deploy/system.toml: V8 rejects a code cache that was made with others. */
const NODE_FLAGS = [
  '--max-old-space-size=160',
  '--single-threaded-gc',
  '--sparkplug',
];
const WARM_UP_TIMEOUT_MS = 20_000;
const loaderPath = resolve(process.argv[2] ?? 'target/anvilstack.cjs');
const basePath = loaderPath.replace(/\.cjs$/, '');
const programPath = `${basePath}.program.js`;

/** Replaces packages with the parts of them that the gateway uses. */
const partsOfPackages = {
  name: 'parts-of-packages',
  setup(pluginBuild) {
    const replace = (filter, file) =>
      pluginBuild.onResolve({filter}, () => ({
        path: new URL(file, import.meta.url).pathname,
      }));
    replace(/^undici$/, 'undici_client.cjs');
    replace(/^\.\/client-h2\.js$/, 'no_http2.cjs');
    replace(
      /^hdr-histogram-js$/,
      '../node_modules/hdr-histogram-js/dist/HistogramBuilder.js',
    );
    // The gateway uses only the JavaScript implementation of histograms.
    replace(/^\.\/wasm$/, 'no_wasm.cjs');
  },
};

const BUNDLE_OPTIONS = {
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  mainFields: ['module', 'main'],
  logLevel: 'warning',
  plugins: [partsOfPackages],
};

await build({
  ...BUNDLE_OPTIONS,
  entryPoints: ['src/gateway_main.ts'],
  outfile: programPath,
  // Removes code of packages that only runs in development.
  define: {'process.env.NODE_ENV': '"production"'},
  minifyWhitespace: true,
  minifySyntax: true,
  // The loader reads the program as one byte for each character.
  charset: 'ascii',
  legalComments: 'none',
  banner: {js: '(function (exports, require, module, __filename, __dirname) {'},
  footer: {js: '})'},
});
copyFileSync(new URL('gateway_loader.cjs', import.meta.url), loaderPath);
await writeCache();

/** Without a cache the program runs all the same, so a failure does not fail the build. */
async function writeCache() {
  const warmUpPath = `${basePath}.warm_up.cjs`;
  const settingsPath = `${basePath}.warm_up.toml`;
  const cachePath = `${programPath}.${process.version}-${process.arch}.cache`;
  rmSync(cachePath, {force: true});
  try {
    await build({
      ...BUNDLE_OPTIONS,
      entryPoints: [new URL('gateway_warm_up.ts', import.meta.url).pathname],
      outfile: warmUpPath,
    });
    execFileSync(
      process.execPath,
      [...NODE_FLAGS, warmUpPath, programPath, cachePath, settingsPath],
      {stdio: ['ignore', 'ignore', 'inherit'], timeout: WARM_UP_TIMEOUT_MS},
    );
  } catch (error) {
    process.stderr.write(`no code cache was made: ${error.message}\n`);
  } finally {
    for (const path of [warmUpPath, settingsPath]) rmSync(path, {force: true});
  }
}
