/** A template in force and the versions that led to it. */
import type {Template} from './template_schema';

/** One accepted version of a template. */
export interface TemplateVersion {
  /** Offset of the record that brought it in. */
  readonly version: number;
  /** Version that it replaced; 0 when there was none. */
  readonly baseVersion: number;
  readonly operator: string;
  /** When the log took it, in milliseconds since the Unix epoch. */
  readonly acceptedAtMs: number;
  readonly change: 'publish' | 'amend' | 'retire';
  /** Fields that it changed, such as `deadline_ms: 500 -> 800`. */
  readonly changes: readonly string[];
}

/** A client account's template in force, with its history. */
export interface TemplateState {
  readonly template: Template;
  readonly current: TemplateVersion;
  /** Accepted versions, oldest first, the current one last. */
  readonly history: readonly TemplateVersion[];
}
