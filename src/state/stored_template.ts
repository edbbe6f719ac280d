/** Keeps a template as text and parses it when it is asked for. */
import type {TemplateState, TemplateVersion} from './config_types';
import {tryParseTemplate} from './template_parse';
import type {Template} from './template_schema';

/** How many parsed templates stay in memory for all states of the process. */
const MAX_PARSED = 2_048;

const recentlyParsed = new Set<StoredTemplate>();

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
 * template takes several times the memory of its text, and few are in use at a time.
 */
export class StoredTemplate implements TemplateState {
  readonly text: string;
  readonly history: readonly TemplateVersion[];
  readonly publishedVersion: number;
  readonly carriedAtMs: number;
  private parsed: Template | undefined;

  constructor(options: StoredTemplateOptions) {
    this.text = options.text;
    this.history = options.history;
    this.publishedVersion = options.publishedVersion;
    this.carriedAtMs = options.carriedAtMs;
    if (options.parsed !== undefined) this.keepParsed(options.parsed);
  }

  get current(): TemplateVersion {
    return this.history[this.history.length - 1];
  }

  get template(): Template {
    if (this.parsed !== undefined) return this.parsed;
    const template = tryParseTemplate(JSON.parse(this.text) as unknown);
    if (template === undefined) throw new Error('a stored template is broken');
    this.keepParsed(template);
    return template;
  }

  toJSON(): TemplateState {
    return {
      template: this.template,
      current: this.current,
      history: this.history,
    };
  }

  private keepParsed(template: Template): void {
    this.parsed = template;
    recentlyParsed.add(this);
    if (recentlyParsed.size <= MAX_PARSED) return;
    const [oldest] = recentlyParsed;
    recentlyParsed.delete(oldest);
    oldest.parsed = undefined;
  }
}
