/** Routes and pools tables of the demo, in the INI format that operators use. */

export const DATA_CENTRES = ['almaty-a', 'almaty-b', 'almaty-c'] as const;

/** Base URLs of the stand-ins in one data centre. */
export interface DataCentreUpstreams {
  readonly dataCentre: string;
  readonly prefill: string;
  readonly decode: string;
  readonly plain: string;
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

function formatUpstreams(upstreams: DataCentreUpstreams): string {
  const { dataCentre } = upstreams;
  return `
[upstream prefill-${dataCentre}]
pool = layout-scribe
role = prefill
data_centre = ${dataCentre}
address = ${withoutScheme(upstreams.prefill)}
memory_blocks = 200

[upstream decode-${dataCentre}]
pool = layout-scribe
role = decode
data_centre = ${dataCentre}
address = ${withoutScheme(upstreams.decode)}
capacity = 20
memory_blocks = 200
cold_limit = 8

[upstream desk-${dataCentre}]
pool = rail-desk
role = plain
data_centre = ${dataCentre}
address = ${withoutScheme(upstreams.plain)}
capacity = 20
cold_limit = 8
`;
}

/** Formats the pools table for the running stand-ins. */
export function formatPools(upstreams: readonly DataCentreUpstreams[]): string {
  const pools = `
[pool layout-scribe]
kind = model
model = layout-scribe

[pool rail-desk]
kind = plain
`;
  return pools + upstreams.map(formatUpstreams).join('');
}
