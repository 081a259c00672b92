/** Handles `GET /v1/models`. */
import type { OrganisationId } from '@hibiscusbank/core';
import type { ConfigurationReplica } from '@hibiscusbank/configuration';
import type { Exchange } from './admission.js';
import { identifyOrganisation } from './authenticate.js';
import type { HandlerContext } from './types.js';

function findModels(
  configuration: ConfigurationReplica,
  organisation: OrganisationId,
): readonly string[] {
  const permittedRoutes = configuration
    .routes()
    .filter(({ access }) => access.kind === 'all' || access.organisations.includes(organisation));
  const models = permittedRoutes.flatMap(
    (route) => configuration.pools().get(route.pool)?.model ?? [],
  );
  return [...new Set(models)];
}

/** Sends the list of models that the caller's organisation may use. */
export function listModels(context: HandlerContext, exchange: Exchange): void {
  const { configuration } = context.options;
  const { incoming, outgoing } = exchange;
  identifyOrganisation(configuration, incoming.headers.authorization).match(
    (organisation) => {
      const data = findModels(configuration, organisation).map((id) => ({
        id,
        object: 'model',
        owned_by: 'hibiscusbank',
      }));
      outgoing.writeHead(200, { 'content-type': 'application/json' });
      outgoing.end(JSON.stringify({ object: 'list', data }));
    },
    (error) => context.sendError(exchange, error),
  );
}
