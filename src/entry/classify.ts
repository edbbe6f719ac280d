/** Finds the request class of a request. */
import type {RequestClass, Template} from '../state';

/** Class and attributes that a template assigns to a request. */
export interface Classification {
  /** Name of the request class; `default` when none matches. */
  readonly name: string;
  readonly urgent: boolean;
  readonly idempotent: boolean;
  /** Default deadline, in milliseconds from arrival. */
  readonly deadlineMs: number;
}

/** Attributes of a request that request classes match on. */
export interface RequestTraits {
  readonly kind: 'model' | 'service';
  /** Name of the model or of the service. */
  readonly target: string;
}

/** Returns the first request class of the template that matches, or the defaults when none does. */
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
