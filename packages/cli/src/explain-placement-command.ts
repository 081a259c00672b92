/** `hibiscusbank explain-placement`: asks a node on the platform where a request would go now, and why. */
import { createError, toError } from '@hibiscusbank/core';
import { command, number, option, optional, string } from 'cmd-ts';
import type { CommandRunner } from './command-runner.js';
import { outputOptions } from './common-options.js';
import { formatTable, printResult } from './output.js';

const REQUEST_TIMEOUT_MS = 3_000;

interface Candidate {
  readonly upstream: string;
  readonly dataCentre: string;
  readonly leftOut?: string;
  readonly requests: number;
  readonly tokens: number;
  readonly failureRate: number;
  readonly rank?: number;
}

interface CellView {
  readonly cell: string;
  readonly waiting: number;
  readonly expectedWaitMs: number;
  readonly next?: string;
  readonly upstreams: readonly {
    readonly upstream: string;
    readonly requests: number;
    readonly tokens: number;
    readonly capacity: { readonly requests: number; readonly tokens: number };
    readonly speed: number;
    readonly penalty: number;
    readonly isFull: boolean;
  }[];
}

interface Rollout {
  readonly to: string;
  readonly state: string;
  readonly otherShare?: number;
  readonly control?: {
    readonly phase: string;
    readonly reason: string;
    readonly evidence: {
      readonly sent: number;
      readonly running: number;
      readonly cells: readonly (readonly [string, string, string, number, number])[];
    };
  };
}

interface Explanation {
  readonly node: string;
  readonly route: string;
  readonly pool: string;
  readonly weight: number;
  readonly tokens: number;
  readonly first?: string;
  readonly candidates: readonly Candidate[];
  readonly rollout?: Rollout;
  readonly allocation?: {
    readonly allocator: { readonly node: string; readonly host: string; readonly port: number };
    readonly cell?: CellView;
  };
}

/** Asks one node. Errors: `peer_unavailable`, and `invalid_request` with the reason that it gives. */
async function askNode(address: string, query: URLSearchParams): Promise<Explanation[]> {
  let res: Response;
  try {
    const signal = AbortSignal.timeout(REQUEST_TIMEOUT_MS);
    res = await fetch(`http://${address}/explain?${query}`, { signal });
  } catch (thrown) {
    throw createError('peer_unavailable', `${address} does not answer; give its peer address`, {
      cause: toError(thrown),
    });
  }
  const body = (await res.json()) as Explanation[] | { readonly error: string };
  if (Array.isArray(body)) return body;
  throw createError('invalid_request', `${address}: ${body.error}`);
}

/** Asks the allocator, whose view decides, unless the answering node is it. */
async function followAllocator(
  explanation: Explanation,
  query: URLSearchParams,
): Promise<Explanation> {
  const { allocation } = explanation;
  if (allocation === undefined || allocation.cell !== undefined) return explanation;
  const { host, port } = allocation.allocator;
  const answers = await askNode(`${host}:${port}`, query);
  const cell = answers.find(({ pool }) => pool === explanation.pool)?.allocation?.cell;
  return cell === undefined ? explanation : { ...explanation, allocation: { ...allocation, cell } };
}

function formatCell(cell: CellView): string[] {
  const rows = cell.upstreams.map(({ upstream, capacity, speed, penalty, isFull, ...use }) => [
    upstream,
    `${use.requests}/${capacity.requests}`,
    capacity.tokens === 0 ? '-' : `${use.tokens}/${capacity.tokens}`,
    speed.toFixed(2),
    penalty.toFixed(2),
    isFull ? 'full' : '',
  ]);
  const decision =
    cell.next === undefined
      ? `would wait behind ${cell.waiting} requests, ${cell.expectedWaitMs} ms expected (0: unknown)`
      : `would go to ${cell.next}`;
  return [
    `cell ${cell.cell}: ${decision}`,
    ...formatTable(['upstream', 'requests', 'tokens', 'speed', 'penalty', ''], rows),
  ];
}

/** Returns the answers of one version and the failures among them. */
function countAnswers(
  { cells }: NonNullable<Rollout['control']>['evidence'],
  isNew: boolean,
): string {
  const answers = cells.filter(
    ([, upstream, metric]) => metric === 'failure' && (upstream !== '') === isNew,
  );
  const sum = (rows: typeof answers): number => rows.reduce((total, [, , , , n]) => total + n, 0);
  return `${sum(answers.filter(([, , , bucket]) => bucket === 1))} of ${sum(answers)} failed`;
}

function formatRollout({ to, state, otherShare, control }: Rollout): string[] {
  const share = otherShare === undefined ? 'no valid instruction' : `share ${otherShare}`;
  const line = `roll-out to ${to}: ${state}, ${share}`;
  if (control === undefined) return [line];
  const { phase, reason, evidence } = control;
  return [
    `${line}; ${phase}: ${reason}`,
    `  new version: ${evidence.sent} requests, ${countAnswers(evidence, true)}; ` +
      `in service: ${countAnswers(evidence, false)}, ${evidence.running} running`,
  ];
}

function formatExplanation(explanation: Explanation): string[] {
  const { route, pool, weight, tokens, node, first, candidates, allocation } = explanation;
  const rows = candidates.map((each) => [
    each.rank === undefined ? '-' : String(each.rank),
    each.upstream,
    each.dataCentre,
    String(each.requests),
    String(each.tokens),
    each.failureRate.toFixed(2),
    each.leftOut ?? '',
  ]);
  const allocator = allocation?.allocator.node;
  return [
    `route ${route}, pool ${pool} (weight ${weight}): reserves ${tokens} tokens`,
    allocator === undefined
      ? `placed by ${node} itself, first: ${first ?? 'none, the request waits or is refused'}`
      : `allocated by ${allocator}; by ${node}'s own view first: ${first ?? 'none'}`,
    ...(explanation.rollout === undefined ? [] : formatRollout(explanation.rollout)),
    ...formatTable(
      ['rank', 'upstream', 'data centre', 'requests', 'tokens', 'failures', 'left out'],
      rows,
    ),
    ...(allocation?.cell === undefined ? [] : formatCell(allocation.cell)),
  ];
}

const optionalNumber = (long: string, description: string) =>
  option({ type: optional(number), long, description });

/** Creates `explain-placement`. */
export function createExplainPlacementCommand(runner: CommandRunner) {
  return command({
    name: 'explain-placement',
    description: 'Explain where a request would go now on the platform, without sending it.',
    args: {
      ...outputOptions,
      node: option({ type: string, long: 'node', description: 'IP:port of a node for peers' }),
      host: option({ type: string, long: 'host', description: 'host of the request' }),
      path: option({ type: string, long: 'path', description: 'path of the request' }),
      org: option({ type: optional(string), long: 'org', description: 'organisation' }),
      prompt: optionalNumber('prompt', 'tokens of the prompt'),
      output: optionalNumber('output', 'maximum output tokens'),
      hint: optionalNumber('hint', 'expected output tokens'),
    },
    handler: (args) =>
      runner.run(args, async (output) => {
        const query = new URLSearchParams({ host: args.host, path: args.path });
        if (args.org !== undefined) query.set('organisation', args.org);
        for (const name of ['prompt', 'output', 'hint'] as const)
          if (args[name] !== undefined) query.set(name, String(args[name]));
        const asked = await askNode(args.node, query);
        const explained = await Promise.all(asked.map((each) => followAllocator(each, query)));
        printResult(output, explained, explained.flatMap(formatExplanation));
      }),
  });
}
