/** `hibiscusbank load`: sends load to nodes, verifies the responses and prints a JSON report. */
import { readFile } from 'node:fs/promises';
import {
  LOAD_DEFAULTS,
  MODEL_ROUTE_DEFAULTS,
  PLAIN_ROUTE_DEFAULTS,
  runLoad,
} from '@hibiscusbank/standins';
import type { LoadOrganisation, LoadRoute, LoadTarget } from '@hibiscusbank/standins';
import { array, command, multioption, number, option, optional, string } from 'cmd-ts';

const EXIT_WRONG_ANSWERS = 1;
const EXIT_USAGE_ERROR = 2;

/** Parses `URL` or `URL,ADMIN_URL`. */
function parseTarget(text: string): LoadTarget {
  const [url = '', admin] = text.split(',');
  return admin === undefined ? { url } : { url, admin };
}

/** Parses `KEY`, `NAME=KEY` or `NAME=KEY,WEIGHT`. */
function parseOrganisation(text: string): LoadOrganisation {
  const [pair = '', weight] = text.split(',');
  const separatorIndex = pair.indexOf('=');
  const name = separatorIndex === -1 ? 'caller' : pair.slice(0, separatorIndex);
  return {
    name,
    key: pair.slice(separatorIndex + 1),
    weight: weight === undefined ? 1 : Number(weight),
  };
}

/** Reads routes from a JSON file; missing fields get the defaults of the route's kind. */
async function readRoutes(path: string | undefined, model: string): Promise<LoadRoute[]> {
  if (path === undefined) return [{ ...MODEL_ROUTE_DEFAULTS, model }];
  const routes = JSON.parse(await readFile(path, 'utf8')) as Partial<LoadRoute>[];
  return routes.map(
    (route) =>
      ({
        ...(route.kind === 'plain' ? PLAIN_ROUTE_DEFAULTS : { ...MODEL_ROUTE_DEFAULTS, model }),
        ...route,
      }) as LoadRoute,
  );
}

const numberOption = (long: string, defaultValue: number, description: string) =>
  option({ type: number, long, defaultValue: () => defaultValue, description });

export const loadCommand = command({
  name: 'load',
  description: 'Send load to nodes and verify the responses; the report is one line of JSON.',
  args: {
    targets: multioption({
      type: array(string),
      long: 'target',
      description: 'URL of a node, or URL,ADMIN_URL to skip the node while it is not ready',
    }),
    keys: multioption({
      type: array(string),
      long: 'key',
      description: 'ORGANISATION=KEY[,WEIGHT] or KEY',
    }),
    rate: numberOption('rate', LOAD_DEFAULTS.ratePerS, 'requests per second'),
    seconds: numberOption(
      'seconds',
      LOAD_DEFAULTS.seconds,
      'seconds during which requests are sent',
    ),
    drain: numberOption(
      'drain',
      LOAD_DEFAULTS.drainSeconds,
      'seconds to wait for the last responses',
    ),
    seed: numberOption('seed', LOAD_DEFAULTS.seed, 'seed of arrival times and request contents'),
    model: option({ type: string, long: 'model', defaultValue: () => MODEL_ROUTE_DEFAULTS.model }),
    mix: option({
      type: optional(string),
      long: 'mix',
      description: 'JSON file with the routes; docs/wire.md lists the fields',
    }),
  },
  handler: async ({ targets, keys, rate, seconds, drain, seed, model, mix }) => {
    if (targets.length === 0 || keys.length === 0) {
      process.stderr.write('give at least one --target and one --key\n');
      process.exitCode = EXIT_USAGE_ERROR;
      return;
    }
    const report = await runLoad({
      ...LOAD_DEFAULTS,
      targets: targets.map(parseTarget),
      organisations: keys.map(parseOrganisation),
      routes: await readRoutes(mix, model),
      ratePerS: rate,
      seconds,
      drainSeconds: drain,
      seed,
    });
    process.stdout.write(`${JSON.stringify(report)}\n`);
    if (report.total.outcomes.wrong > 0) process.exitCode = EXIT_WRONG_ANSWERS;
  },
});
