/** `anvilstack template history`. */
import {Command} from 'clipanion';
import {formatTable} from '../diagnostics';
import {formatTime} from './output';
import {type TemplateState, TemplateReadCommand} from './template_read_command';

/** Lists the accepted versions of a template. */
export class TemplateHistoryCommand extends TemplateReadCommand {
  static override paths = [['template', 'history']];
  static override usage = Command.Usage({
    category: 'Templates',
    description: "Lists the accepted versions of a client account's template.",
    examples: [
      ['See who changed a template', 'anvilstack template history studio'],
    ],
  });

  protected override createJson({history}: TemplateState): unknown {
    return history;
  }

  protected override formatText({history}: TemplateState): string {
    const rows = history.map(item => [
      String(item.version),
      item.baseVersion === 0 ? '-' : String(item.baseVersion),
      item.operator,
      formatTime(item.acceptedAtMs),
    ]);
    return formatTable(['VERSION', 'BASE', 'OPERATOR', 'ACCEPTED (UTC)'], rows);
  }
}
