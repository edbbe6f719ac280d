/** `anvilstack template amend`. */
import {Command, Option} from 'clipanion';
import {Err, Ok, type Result} from 'ts-results';
import {createMessage, type Message, messages} from '../diagnostics';
import type {Template} from '../state';
import {TemplateChangeCommand} from './template_change_command';

/**
 * Amends a client account's template; refused unless the base version is still the one in force.
 */
export class TemplateAmendCommand extends TemplateChangeCommand {
  static override paths = [['template', 'amend']];
  static override usage = Command.Usage({
    category: 'Templates',
    description: "Amends a client account's template.",
    details:
      'The amendment names the version it is based on. Of two amendments of the same version, the first in the log is accepted; the other is refused, and the message names the operator of the accepted one.',
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
        `'${this.base}' is not a version number`,
      ]),
    );
  }
}
