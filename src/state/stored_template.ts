/** Stores a template as compressed text and parses it on demand. */
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import type {TemplateState, TemplateVersion} from './template_state';
import {tryParseTemplate} from './template_parse';
import type {Template} from './template_schema';

/** Maximum number of parsed templates in memory, over all states of the process. */
const MAX_PARSED_TEMPLATES = 2_048;

/** Preset dictionary for deflate: text that most templates share. Used in memory only. */
const DEFLATE_DICTIONARY = createDictionary();
const DEFLATE_OPTIONS = {
  dictionary: DEFLATE_DICTIONARY,
  windowBits: 13,
  memLevel: 6,
};

const parsedTemplates = new Set<StoredTemplate>();

/** Options of a stored template. */
export interface StoredTemplateOptions {
  /** The template as JSON, as written in the log. */
  readonly text: string;
  /** The parsed template, if the caller has it already. */
  readonly parsed?: Template;
  readonly history: readonly TemplateVersion[];
  readonly publishedVersion: number;
  /** When it was last published or carried forward, on the log's clock, in milliseconds. */
  readonly carriedAtMs: number;
}

/**
 * A template in force. A parsed template takes many times the memory of its compressed text, and
 * few templates are in use at a time, so only the most recently parsed ones stay parsed. A class,
 * so that tens of thousands of templates share their accessors.
 */
export class StoredTemplate implements TemplateState {
  readonly history: readonly TemplateVersion[];
  readonly publishedVersion: number;
  private lastCarriedAtMs: number;
  /** Deflated JSON as a string, one byte per character; smaller in memory than a Buffer. */
  private readonly compressedText: string;
  private parsed: Template | undefined;

  constructor(options: StoredTemplateOptions) {
    this.compressedText = deflateRawSync(
      options.text,
      DEFLATE_OPTIONS,
    ).toString('latin1');
    this.history = options.history;
    this.publishedVersion = options.publishedVersion;
    this.lastCarriedAtMs = options.carriedAtMs;
    if (options.parsed !== undefined) this.cacheParsed(options.parsed);
  }

  get carriedAtMs(): number {
    return this.lastCarriedAtMs;
  }

  /** The template as JSON, as written in the log. */
  get text(): string {
    const bytes = Buffer.from(this.compressedText, 'latin1');
    return inflateRawSync(bytes, DEFLATE_OPTIONS).toString();
  }

  get current(): TemplateVersion {
    return this.history[this.history.length - 1];
  }

  get template(): Template {
    if (this.parsed !== undefined) return this.parsed;
    const template = tryParseTemplate(JSON.parse(this.text) as unknown);
    if (template === undefined)
      throw new Error('stored template cannot be parsed');
    this.cacheParsed(template);
    return template;
  }

  /** Records that this version was carried forward. */
  recordCarried(carriedAtMs: number): void {
    this.lastCarriedAtMs = carriedAtMs;
  }

  toJSON(): TemplateState {
    return {
      template: this.template,
      current: this.current,
      history: this.history,
    };
  }

  private cacheParsed(template: Template): void {
    this.parsed = template;
    parsedTemplates.add(this);
    if (parsedTemplates.size <= MAX_PARSED_TEMPLATES) return;
    const [oldest] = parsedTemplates;
    parsedTemplates.delete(oldest);
    oldest.parsed = undefined;
  }
}

/** Returns the text of a typical template. Text that it lacks only compresses less well. */
function createDictionary(): Buffer {
  const gate = {
    min_goodput: 0.95,
    max_error_rate: 0.02,
    window_s: 60,
    min_requests: 20,
  };
  const classes = ['service', 'model'].map(kind => ({
    name: '',
    kind,
    urgent: false,
    idempotent: true,
  }));
  const kinds = ['prepare_weights', 'warm', 'drain', 'done', 'shift'];
  const stages = kinds.map(kind => ({
    name: kind,
    kind,
    starts_at: '2026-01-01T00:00:00Z',
    to: {buildings: ['']},
    from: {buildings: ['']},
    share: 0,
    gate,
  }));
  const limits = {
    requests_per_s: 50,
    burst: 100,
    max_concurrent: 200,
    weight: 1,
  };
  const template = {
    client_account: '',
    description: '',
    api_key_sha256: [''],
    operators: [''],
    models: [],
    adapters: [],
    services: [],
    deadline_ms: 30_000,
    limits,
    key_window_s: 3_600,
    engines: {},
    request_class: classes,
    move: {hold: false, stages},
  };
  return Buffer.from(JSON.stringify(template));
}
