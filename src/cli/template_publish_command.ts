/** `anvilstack template publish`. */
import {Command} from 'clipanion';
import {Ok, type Result} from 'ts-results';
import type {Template} from '../state';
import {TemplateChangeCommand} from './template_change_command';

/** Publishes the first version of a client account's template. */
export class TemplatePublishCommand extends TemplateChangeCommand {
  static override paths = [['template', 'publish']];
  static override usage = Command.Usage({
    category: 'Templates',
    description: "Publishes a client account's first template.",
    details:
      'A version is accepted once it was read back from the log. With --wait the command returns when the version is in force on every live node; after --wait-seconds it fails and names the nodes where it is not.',
    examples: [
      [
        'Publish a template and wait for all nodes',
        'anvilstack template publish examples/tatranska/templates/studio.toml --wait',
      ],
    ],
  });

  protected override createChange(template: Template): Result<unknown, never> {
    return Ok({template});
  }
}
