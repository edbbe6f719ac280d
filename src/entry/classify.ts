/** Finds the request class that holds for a request. */
import type {RequestClass, Template} from '../state';

/** What a template says of one request. */
export interface Classification {
  /** Name of the request class; `default` when none matches. */
  readonly name: string;
  readonly urgent: boolean;
  readonly idempotent: boolean;
  readonly deadlineMs: number;
}

/** What is known of a request before it is classified. */
export interface RequestTraits {
  readonly kind: 'model' | 'service';
  /** Name of the model or of the service. */
  readonly target: string;
}

/** Returns the first class of the template that matches, or the template's defaults. */
export function getClassification(
  template: Template,
  traits: RequestTraits,
): Classification {
  const found = template.request_class.find(item => isMatch(item, traits));
  return {
    name: found?.name ?? 'default',
    urgent: found?.urgent ?? false,
    idempotent: found?.idempotent ?? true,
    deadlineMs: found?.deadline_ms ?? template.deadline_ms,
  };
}

function isMatch(requestClass: RequestClass, traits: RequestTraits): boolean {
  if (requestClass.kind !== traits.kind) return false;
  const wanted =
    requestClass.kind === 'model' ? requestClass.model : requestClass.service;
  return wanted === undefined || wanted === traits.target;
}
