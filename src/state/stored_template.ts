/** Keeps a template as packed text and parses it when it is asked for. */
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import type {TemplateState, TemplateVersion} from './template_state';
import {tryParseTemplate} from './template_parse';
import type {Template} from './template_schema';

/** How many parsed templates stay in memory for all states of the process. */
const MAX_PARSED_TEMPLATES = 2_048;

/** Text that templates have in common; it stays in memory and never goes to the log. */
const DEFLATE_DICTIONARY = createDictionary();
const DEFLATE_OPTIONS = {
  dictionary: DEFLATE_DICTIONARY,
  windowBits: 13,
  memLevel: 6,
};

const parsedTemplates = new Set<StoredTemplate>();

/** Options of a stored template. */
export interface StoredTemplateOptions {
  /** JSON text of the template as the log holds it. */
  readonly text: string;
  /** The parsed template, when it is at hand. */
  readonly parsed?: Template;
  readonly history: readonly TemplateVersion[];
  readonly publishedVersion: number;
  /** When it was last published or carried forward, on the log's clock. */
  readonly carriedAtMs: number;
}

/**
 * A template in force. A class, so that tens of thousands of them share one getter: a parsed
 * template takes many times the memory of its packed text, and few are in use at a time.
 */
export class StoredTemplate implements TemplateState {
  readonly history: readonly TemplateVersion[];
  readonly publishedVersion: number;
  private lastCarriedAtMs: number;
  /** Deflated JSON text, one byte a character: shorter in memory than a buffer of its own. */
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

  /** JSON text of the template as the log holds it. */
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
    if (template === undefined) throw new Error('a stored template is broken');
    this.cacheParsed(template);
    return template;
  }

  /** Notes that a record of this version was carried forward. */
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

/** Returns text like that of most templates. What it lacks costs memory, nothing else. */
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
