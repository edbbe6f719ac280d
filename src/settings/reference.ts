/** Renders the settings reference page from the schemas. */
import {z} from 'zod';
import {settingsSchema} from './schema';
import {standinsSchema} from './standins_schema';

/** The fields of a JSON schema node that the page uses. */
interface SchemaNode {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly enum?: readonly unknown[];
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly required?: readonly string[];
  readonly items?: SchemaNode;
  readonly minimum?: number;
  readonly exclusiveMinimum?: number;
  readonly maximum?: number;
  readonly format?: string;
}

/** Returns the text of docs/operators/settings_reference.md. */
export function renderSettingsReference(): string {
  const lines = [
    '# Settings reference',
    '',
    'Generated from the schemas in `src/settings/` by `npm run docs`. A key marked `required` must be in the file. `[[name]]` is a table that may be repeated.',
    '',
    '## Settings of a node (`anvilstack serve --settings FILE`)',
    ...renderTables(getJsonSchema(settingsSchema), '', false),
    '',
    '## Settings of the stand-ins (`anvilstack standins --settings FILE`)',
    ...renderTables(getJsonSchema(standinsSchema), '', false),
  ];
  return `${lines.join('\n')}\n`;
}

function getJsonSchema(schema: z.ZodType): SchemaNode {
  return z.toJSONSchema(schema, {io: 'input'}) as SchemaNode;
}

function renderTables(
  node: SchemaNode,
  path: string,
  isArray: boolean,
): string[] {
  const entries = Object.entries(node.properties ?? {});
  const leaves = entries.filter(([, child]) => !isTable(child));
  const tables = entries.filter(([, child]) => isTable(child));
  const lines: string[] = [];
  if (path !== '') {
    lines.push('', `### \`${isArray ? `[[${path}]]` : `[${path}]`}\``);
    if (node.description !== undefined) lines.push('', `${node.description}.`);
  }
  if (leaves.length > 0) {
    lines.push(
      '',
      '| key | value | default | meaning |',
      '| --- | --- | --- | --- |',
    );
    for (const [name, leaf] of leaves) {
      lines.push(
        renderLeaf(name, leaf, node.required?.includes(name) ?? false),
      );
    }
  }
  for (const [name, child] of tables) {
    const fullPath = path === '' ? name : `${path}.${name}`;
    const isList = child.type === 'array';
    lines.push(
      ...renderTables(isList ? (child.items ?? {}) : child, fullPath, isList),
    );
  }
  return lines;
}

function isTable(node: SchemaNode): boolean {
  const inner = node.type === 'array' ? node.items : node;
  return inner?.properties !== undefined;
}

function renderLeaf(
  name: string,
  leaf: SchemaNode,
  isRequired: boolean,
): string {
  const defaultText =
    leaf.default !== undefined
      ? `\`${JSON.stringify(leaf.default)}\``
      : isRequired
        ? 'required'
        : 'none';
  return `| \`${name}\` | ${getValueText(leaf)} | ${defaultText} | ${leaf.description ?? ''} |`;
}

function getValueText(leaf: SchemaNode): string {
  if (leaf.enum !== undefined) {
    return leaf.enum.map(item => `\`${String(item)}\``).join(', ');
  }
  if (leaf.type === 'array') return `list of ${getValueText(leaf.items ?? {})}`;
  if (leaf.type === 'integer' || leaf.type === 'number') {
    return `${leaf.type === 'integer' ? 'whole number' : 'number'}${getBoundsText(leaf)}`;
  }
  if (leaf.type === 'boolean') return '`true`, `false`';
  return leaf.format === 'uri' ? 'address' : 'text';
}

function getBoundsText(leaf: SchemaNode): string {
  const lowerBound =
    leaf.minimum !== undefined
      ? `from ${leaf.minimum}`
      : leaf.exclusiveMinimum !== undefined
        ? `above ${leaf.exclusiveMinimum}`
        : '';
  const upperBound =
    leaf.maximum !== undefined && leaf.maximum < Number.MAX_SAFE_INTEGER
      ? ` to ${leaf.maximum}`
      : '';
  return `${lowerBound}${upperBound}` === ''
    ? ''
    : `, ${lowerBound}${upperBound}`;
}
