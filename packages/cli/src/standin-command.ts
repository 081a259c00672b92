/** `hibiscusbank standin`: runs one stand-in of an external system in the foreground. */
import {
  ENGINE_DEFAULTS,
  OBJECT_API_DEFAULTS,
  UPSTREAM_DEFAULTS,
  VM_LIST_DEFAULTS,
  WEIGHT_STORE_DEFAULTS,
  startEngine,
  startObjectApi,
  startUpstream,
  startVmList,
  startWeightStore,
} from '@hibiscusbank/standins';
import type { StandinServer } from '@hibiscusbank/standins';
import { command, multioption, array, number, oneOf, option, positional, string } from 'cmd-ts';

const kinds = ['object-api', 'vm-list', 'weight-store', 'engine', 'upstream'] as const;
type Kind = (typeof kinds)[number];
type Options = Record<string, unknown>;

const starters: Record<Kind, (port: number, options: Options) => Promise<StandinServer>> = {
  'object-api': startObjectApi,
  'vm-list': (port, options) => startVmList(port, [], options),
  'weight-store': startWeightStore,
  engine: startEngine,
  upstream: startUpstream,
};

const defaults: Record<Kind, object> = {
  'object-api': OBJECT_API_DEFAULTS,
  'vm-list': VM_LIST_DEFAULTS,
  'weight-store': WEIGHT_STORE_DEFAULTS,
  engine: ENGINE_DEFAULTS,
  upstream: UPSTREAM_DEFAULTS,
};

const EXIT_USAGE_ERROR = 2;

/** Parses a value as JSON; a value that is not valid JSON is taken as text. */
function parseValue(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

/** Parses `name=value` pairs; a value may contain further `=`. */
function parseOptions(pairs: readonly string[]): Options {
  return Object.fromEntries(
    pairs.map((pair) => {
      const [name = '', ...rest] = pair.split('=');
      return [name, parseValue(rest.join('='))];
    }),
  );
}

function findUnknownOptions(kind: Kind, options: Options): string[] {
  const known = Object.keys(defaults[kind]);
  return Object.keys(options).filter((name) => !known.includes(name));
}

export const standinCommand = command({
  name: 'standin',
  description: 'Run a stand-in of an external system for testing. docs/wire.md lists the options.',
  args: {
    kind: positional({ type: oneOf(kinds), displayName: 'KIND' }),
    port: option({ type: number, long: 'port' }),
    set: multioption({
      type: array(string),
      long: 'set',
      description: 'option of the stand-in as NAME=VALUE; may be given several times',
    }),
  },
  handler: async ({ kind, port, set }) => {
    const options = parseOptions(set);
    const unknown = findUnknownOptions(kind, options);
    if (unknown.length > 0) {
      const known = Object.keys(defaults[kind]).join(', ');
      process.stderr.write(`unknown options ${unknown.join(', ')}; ${kind} has ${known}\n`);
      process.exitCode = EXIT_USAGE_ERROR;
      return;
    }
    const server = await starters[kind](port, options);
    process.stdout.write(`${kind} at ${server.url}\n`);
  },
});
