/** Identifies the organisation of a request and checks its access to a route. */
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
 * Returns the organisation of a tenant key. Every request is checked, also on keep-alive
 * connections, so that a withdrawn key is refused immediately. Errors: `unauthorised`, and
 * `not_ready` while keys cannot be confirmed.
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

/**
 * Checks the access list of a route. Returns the organisation, or `undefined` for a route that is
 * open to all callers. Errors: `unauthorised`, `forbidden`, `not_ready`.
 */
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
