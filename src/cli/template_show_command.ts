/** `anvilstack template show`. */
import {Command} from 'clipanion';
import {stringify} from 'smol-toml';
import {type TemplateState, TemplateReadCommand} from './template_read_command';

/** Shows the template in force. */
export class TemplateShowCommand extends TemplateReadCommand {
  static override paths = [['template', 'show']];
  static override usage = Command.Usage({
    category: 'Templates',
    description: "Shows a client account's template in force, as TOML.",
    examples: [
      [
        'Print a template, for example to amend it',
        'anvilstack template show studio',
      ],
    ],
  });

  protected override createJson({current, template}: TemplateState): unknown {
    return {...current, template};
  }

  protected override formatText({current, template}: TemplateState): string {
    return `# version ${current.version} by ${current.operator}\n${stringify(template)}\n`;
  }
}
