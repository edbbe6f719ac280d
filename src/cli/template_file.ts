/** Loads a template from a TOML file and reports its faults with their positions. */
import {Err, Ok, type Result} from 'ts-results';
import {type Message, MessageCategory, messages} from '../diagnostics';
import {
  checkToml,
  createMessageAt,
  parseToml,
  readTextFile,
  type TomlDocument,
} from '../settings';
import {checkTemplate, type Template, templateSchema} from '../state';

/** A template without errors, and the warnings about it. */
export interface LoadedTemplate {
  readonly template: Template;
  readonly warnings: readonly Message[];
}

/** Reads and checks a template; returns all of its faults when there is an error. */
export function loadTemplate(
  file: string,
): Result<LoadedTemplate, readonly Message[]> {
  return readTextFile(file)
    .andThen(text => parseToml(file, text))
    .andThen(document =>
      checkToml(document, templateSchema).andThen(template =>
        checkSemantics(document, template),
      ),
    );
}

function checkSemantics(
  document: TomlDocument,
  template: Template,
): Result<LoadedTemplate, readonly Message[]> {
  const findings = checkTemplate(template).map(problem =>
    createMessageAt(
      document,
      problem.path,
      problem.severity === 'error'
        ? messages.InvalidTemplate
        : messages.TemplateWarning,
      [template.client_account, problem.message],
    ),
  );
  const hasError = findings.some(
    message => message.definition.category === MessageCategory.Error,
  );
  return hasError ? Err(findings) : Ok({template, warnings: findings});
}
