/**
 * Builds target/anvilstack.cjs: only the gateway, bundled into one small file that starts
 * quickly.
 */
import {build} from 'esbuild';

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

await build({
  entryPoints: ['src/gateway_main.ts'],
  outfile: process.argv[2] ?? 'target/anvilstack.cjs',
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  // Removes code of packages that only runs in development.
  define: {'process.env.NODE_ENV': '"production"'},
  mainFields: ['module', 'main'],
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'warning',
  plugins: [partsOfPackages],
});
