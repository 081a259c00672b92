/** Decides for which organisation a request runs. */
import { createError } from '@hibiscusbank/core';
import type { OrganisationId, RouterError } from '@hibiscusbank/core';
import { digestKey } from '@hibiscusbank/configuration';
import type { ConfigurationReplica } from '@hibiscusbank/configuration';
import type { RouteEntry } from '@hibiscusbank/settings';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

const BEARER = /^Bearer\s+(\S+)$/i;

const refuse = (kind: 'unauthorised' | 'forbidden' | 'not_ready', message: string): RouterError =>
  createError(kind, message, { effect: 'not_run' });

/**
 * Identifies the organisation by its key. Every request is checked, also on kept-alive connections,
 * so that a withdrawn key stops at once. Errors: `unauthorised`, `not_ready` while keys cannot be
 * confirmed.
 */
export function identifyOrganisation(
  configuration: ConfigurationReplica,
  authorization: string | undefined,
): Result<OrganisationId, RouterError> {
  const key = BEARER.exec(authorization ?? '')?.[1];
  if (key === undefined) {
    return err(refuse('unauthorised', 'send a tenant key as "Authorization: Bearer KEY"'));
  }
  if (!configuration.areKeysConfirmed()) {
    return err(
      refuse(
        'not_ready',
        'this data centre has been isolated too long to confirm keys; retry later',
      ),
    );
  }
  const found = configuration.findKey(digestKey(key));
  if (found === undefined) {
    return err(refuse('unauthorised', 'the key is unknown or withdrawn; ask for a new one'));
  }
  return ok(found.organisation);
}

/** Checks a route's access list. `undefined` stands for a caller without organisation. */
export function authorise(
  configuration: ConfigurationReplica,
  route: RouteEntry,
  authorization: string | undefined,
): Result<OrganisationId | undefined, RouterError> {
  const { access } = route;
  if (access.kind === 'all') return ok(undefined);
  return identifyOrganisation(configuration, authorization).andThen((organisation) => {
    if (access.organisations.includes(organisation)) return ok(organisation);
    return err(
      refuse(
        'forbidden',
        `organisation ${organisation} is not on route ${route.id}; ask the operator`,
      ),
    );
  });
}
