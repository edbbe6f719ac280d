/** Templates of both example deployments, bundled into the program at build time. */
import {parse} from 'smol-toml';
import roofersText from '../../examples/boeiboord/templates/roofers.toml?text';
import choirText from '../../examples/tatranska/templates/choir.toml?text';
import studioText from '../../examples/tatranska/templates/studio.toml?text';
import {type Template, templateSchema} from '../state';

/** An example template with its API key, whose hash the template lists. */
export interface ExampleTemplate {
  readonly template: Template;
  readonly apiKey: string;
}

/** Returns the templates, with the given operator added to those who may amend them. */
export function listExampleTemplates(operator: string): ExampleTemplate[] {
  return [studioText, choirText, roofersText].map(text => {
    const template = templateSchema.parse(parse(text));
    return {
      template: {...template, operators: [...template.operators, operator]},
      apiKey: `${template.client_account}-key`,
    };
  });
}
