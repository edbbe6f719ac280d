/** Types of a template in force and its history. */
import type {Template} from './template_schema';

/** One accepted version of a template. */
export interface TemplateVersion {
  /** Offset of the record that made this version. */
  readonly version: number;
  /** Version that the change was based on; 0 for a publication. */
  readonly baseVersion: number;
  readonly operator: string;
  /** When the log appended its record, in milliseconds since the Unix epoch. */
  readonly acceptedAtMs: number;
  readonly change: 'publish' | 'amend' | 'retire';
  /** Fields that an amendment changed, such as `deadline_ms: 500 -> 800`. */
  readonly changes: readonly string[];
}

/** A client account's template in force, with its history. */
export interface TemplateState {
  readonly template: Template;
  readonly current: TemplateVersion;
  /** Accepted versions, oldest first, the current one last. */
  readonly history: readonly TemplateVersion[];
}
