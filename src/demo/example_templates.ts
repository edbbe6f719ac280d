/** Both users' example templates, put into the program when it is built. */
import {parse} from 'smol-toml';
import roofersText from '../../examples/boeiboord/templates/roofers.toml?text';
import choirText from '../../examples/tatranska/templates/choir.toml?text';
import studioText from '../../examples/tatranska/templates/studio.toml?text';
import {type Template, templateSchema} from '../state';

/** An example template with the API key that it names. */
export interface ExampleTemplate {
  readonly template: Template;
  readonly apiKey: string;
}

/** Returns the templates, which the given operator may amend besides their own. */
export function listExampleTemplates(operator: string): ExampleTemplate[] {
  return [studioText, choirText, roofersText].map(text => {
    const template = templateSchema.parse(parse(text));
    return {
      template: {...template, operators: [...template.operators, operator]},
      apiKey: `${template.client_account}-key`,
    };
  });
}
