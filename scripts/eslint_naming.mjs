/**
 * ESLint rules for names: function names begin with a verb from docs/STYLE.md, and file names
 * are in snake_case.
 */
import {readFileSync} from 'node:fs';
import {basename} from 'node:path';

const STYLE_PAGE = 'docs/STYLE.md';
const VERBS_PATTERN = /<!-- verbs:start -->([\s\S]*?)<!-- verbs:end -->/;
const FILE_PATTERN = /^[a-z0-9]+(_[a-z0-9]+)*(\.[a-z]+)+$/;

/** Reads the list of verbs from the style page. */
export function readVerbs() {
  const match = VERBS_PATTERN.exec(readFileSync(STYLE_PAGE, 'utf8'));
  if (match === null) throw new Error('docs/STYLE.md has no list of verbs');
  const words = match[1]
    .split('\n')
    .filter(line => line.startsWith('- '))
    .flatMap(line => line.slice(line.indexOf(':') + 1).split(','));
  return new Set(words.map(word => word.trim()));
}

/** Returns the first word of a camelCase name. */
export function getFirstWord(name) {
  return /^[a-z0-9]+/.exec(name)?.[0] ?? '';
}

const verbs = readVerbs();

const functionVerb = {
  meta: {type: 'suggestion', schema: []},
  create: context => ({
    FunctionDeclaration: node => {
      if (node.id === null || verbs.has(getFirstWord(node.id.name))) return;
      context.report({
        node: node.id,
        message: `Function "${node.id.name}" does not begin with a verb of docs/STYLE.md.`,
      });
    },
  }),
};

const fileName = {
  meta: {type: 'suggestion', schema: []},
  create: context => ({
    Program: node => {
      const name = basename(context.filename);
      if (FILE_PATTERN.test(name)) return;
      context.report({node, message: `File name "${name}" is not snake_case.`});
    },
  }),
};

export const namingPlugin = {
  rules: {'function-verb': functionVerb, 'file-name': fileName},
};
