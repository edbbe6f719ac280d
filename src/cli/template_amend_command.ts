/** `anvilstack template amend`. */
import {Command, Option} from 'clipanion';
import {Err, Ok, type Result} from 'ts-results';
import {createMessage, type Message, messages} from '../diagnostics';
import type {Template} from '../state';
import {TemplateChangeCommand} from './template_change_command';

/** Replaces the version of a template that the operator has seen. */
export class TemplateAmendCommand extends TemplateChangeCommand {
  static override paths = [['template', 'amend']];
  static override usage = Command.Usage({
    category: 'Templates',
    description: "Amends a client account's template.",
    details:
      'The amendment names the version it is based on. Of two amendments of one version the first in the log wins; the other is told by whom.',
    examples: [
      [
        'Amend version 12',
        'anvilstack template amend studio.toml --base 12 --wait',
      ],
    ],
  });

  base = Option.String('--base', {
    required: true,
    description: 'Version that the amendment is based on',
  });

  protected override createChange(
    template: Template,
  ): Result<unknown, Message> {
    if (/^\d+$/.test(this.base)) {
      return Ok({template, baseVersion: Number(this.base)});
    }
    return Err(
      createMessage(messages.InvalidOptionValue, [
        '--base',
        `'${this.base}' is not the number of a version`,
      ]),
    );
  }
}
