/** `hibiscusbank standin`: runs one stand-in in the foreground. */
import { startEngine, startObjectStore, startUpstream, startVmList } from '@hibiscusbank/standins';
import type { StandinServer } from '@hibiscusbank/standins';
import { command, number, oneOf, option, positional } from 'cmd-ts';

const kinds = ['object-api', 'vm-list', 'engine', 'upstream'] as const;
type Kind = (typeof kinds)[number];

const DEFAULT_TOKEN_MS = 20;
const DEFAULT_PREFILL_TOKENS_PER_MS = 10;

const starters: Record<Kind, (port: number) => Promise<StandinServer>> = {
  'object-api': startObjectStore,
  'vm-list': (port) => startVmList(port),
  engine: (port) =>
    startEngine(port, {
      tokenMs: DEFAULT_TOKEN_MS,
      prefillTokensPerMs: DEFAULT_PREFILL_TOKENS_PER_MS,
    }),
  upstream: startUpstream,
};

export const standinCommand = command({
  name: 'standin',
  description: 'Run a stand-in of an outside system, for trials.',
  args: {
    kind: positional({ type: oneOf(kinds), displayName: 'KIND' }),
    port: option({ type: number, long: 'port' }),
  },
  handler: async ({ kind, port }) => {
    const server = await starters[kind](port);
    process.stdout.write(`${kind} at ${server.url}\n`);
  },
});
