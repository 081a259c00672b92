/** Configuration of a small deployment: streams to engines in two stages, and plain requests. */
import { HOST, KEY } from './clients.mjs';

const route = (name, kind, service, change) => ({
  name: `r-${name}`,
  host: HOST,
  'path-prefix': `/${name}/`,
  kind,
  'timeout-ms': 14_000,
  'target-latency-ms': 900,
  priority: 1,
  service,
  'max-attempts': 1,
  public: false,
  'session-affinity': service === 'engines',
  resumable: false,
  ...(kind === 'streaming' ? { 'gap-aim-ms': 300 } : {}),
  ...change,
});

/** Returns a configuration; `routes` are further routes. */
export const createConfiguration = (version, routes = []) => ({
  version,
  routes: [
    route('notes', 'streaming', 'engines', { 'max-attempts': 2, resumable: true }),
    route('booking', 'non_idempotent', 'desk', {
      'timeout-ms': 800,
      'target-latency-ms': 100,
      priority: 2,
    }),
    ...routes.map(([name, kind, service, change]) => route(name, kind, service, change)),
  ],
  services: [
    {
      name: 'engines',
      'health-path': '/healthz',
      'max-connections': 360,
      protocol: 'h1',
      tls: false,
      'cold-start-s': 0,
      'cold-per-s': 0,
      engine: {
        slots: 64,
        'kv-tokens': 59_819,
        'kv-token-bytes': 327_680,
        'link-mbps': 3_200_000,
        moves: true,
        backups: true,
        stride: 7,
        most: 12,
        'handle-ttl-s': 0.5,
        'switch-s': 6,
        'pin-ms': 4_000,
        'hold-ms': 2_000,
        models: [{ name: 'm' }],
      },
    },
    {
      name: 'desk',
      'health-path': '/healthz',
      'max-connections': 96,
      protocol: 'h1',
      tls: false,
      'cold-start-s': 0,
      'cold-per-s': 0,
    },
  ],
  limits: {
    'max-header-bytes': 16_384,
    'max-body-bytes': 4_194_304,
    'header-timeout-ms': 3_000,
    'idle-timeout-ms': 15_000,
  },
  tenants: [
    {
      name: 'hule930',
      'api-keys': [KEY],
      priority: 1,
      unit: 'tokens',
      'plain-tokens': 200,
      'rate-per-s': 58_547,
      burst: 58_547,
    },
  ],
});
