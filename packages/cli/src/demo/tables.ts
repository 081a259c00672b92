/** Tables of the demo's site, in the INI form that operators write. */

export const DATA_CENTRES = ['almaty-a', 'almaty-b', 'almaty-c'] as const;

/** Base URLs of one data centre's stand-ins. */
export interface DataCentreUpstreams {
  readonly dataCentre: string;
  readonly prefill: string;
  readonly decode: string;
  readonly server: string;
}

export const ROUTES_INI = `
[route notes]
path = /v1/chat/completions
organisations = tengri, werkbankdienst
pool = layout-scribe
idempotent = yes
urgency = patient

[route plans]
path = /plans/*
methods = GET
organisations = tengri, werkbankdienst
pool = rail-desk
idempotent = yes
urgency = urgent

[route bookings]
path = /bookings
methods = POST
organisations = tengri
pool = rail-desk
idempotent = no
urgency = urgent
`;

const withoutScheme = (url: string): string => url.replace('http://', '');

function formatUpstreams(site: DataCentreUpstreams): string {
  const { dataCentre } = site;
  return `
[upstream prefill-${dataCentre}]
pool = layout-scribe
role = prefill
data_centre = ${dataCentre}
address = ${withoutScheme(site.prefill)}
memory_blocks = 200

[upstream decode-${dataCentre}]
pool = layout-scribe
role = decode
data_centre = ${dataCentre}
address = ${withoutScheme(site.decode)}
capacity = 20
memory_blocks = 200
cold_limit = 8

[upstream desk-${dataCentre}]
pool = rail-desk
role = plain
data_centre = ${dataCentre}
address = ${withoutScheme(site.server)}
capacity = 20
cold_limit = 8
`;
}

/** The pools table for the stand-ins that were started. */
export function formatPools(sites: readonly DataCentreUpstreams[]): string {
  const pools = `
[pool layout-scribe]
kind = model
model = layout-scribe

[pool rail-desk]
kind = plain
`;
  return pools + sites.map(formatUpstreams).join('');
}
