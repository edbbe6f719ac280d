/** Reads a template's TOML file and reports its faults with their places. */
import type {Result} from 'ts-results';
import type {Message} from '../diagnostics';
import {checkToml, parseToml, readText} from '../settings';
import {type Template, templateSchema} from '../state';

/** Reads and checks a template. */
export function loadTemplate(
  file: string,
): Result<Template, readonly Message[]> {
  return readText(file)
    .andThen(text => parseToml(file, text))
    .andThen(document => checkToml(document, templateSchema));
}
