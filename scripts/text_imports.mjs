/** Lets a source import a file's text: `import text from 'package/file.js?text'`. */
import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';

const require = createRequire(import.meta.url);

export const textImports = {
  name: 'text-imports',
  setup(pluginBuild) {
    pluginBuild.onResolve({filter: /\?text$/}, args => ({
      path: require.resolve(args.path.slice(0, -'?text'.length)),
      namespace: 'text',
    }));
    pluginBuild.onLoad({filter: /.*/, namespace: 'text'}, args => ({
      contents: readFileSync(args.path, 'utf8'),
      loader: 'text',
    }));
  },
};
