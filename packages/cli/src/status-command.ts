/** `hibiscusbank status`: prints the state that the nodes report. */
import { createError } from '@hibiscusbank/core';
import type { RouterError, Violation } from '@hibiscusbank/core';
import type { Member } from '@hibiscusbank/peers';
import type { BalanceReport } from '@hibiscusbank/quota';
import type { CellSummary } from '@hibiscusbank/scheduler';
import type { AdminPort } from './admin-client.js';
import { formatTable, printResult } from './output.js';
import type { Output } from './output.js';
import type { CliPorts } from './ports.js';

/** Body of `GET /status` of a node. */
export interface NodeStatus {
  readonly vm: string;
  readonly dataCentre: string;
  readonly ready: boolean;
  readonly obstacle?: string;
  readonly revision: number;
  readonly activeRequests: number;
  readonly members: readonly Member[];
  readonly cells: readonly CellSummary[];
  readonly balances: readonly BalanceReport[];
  readonly violations: readonly Violation[];
}

interface NodeReport {
  readonly address: string;
  readonly status?: NodeStatus;
  readonly error?: string;
}

async function readNode(admin: AdminPort): Promise<NodeReport> {
  const { address } = admin;
  const result = await admin.get('/status');
  return result.match<NodeReport>(
    (body) => ({ address, status: body as NodeStatus }),
    (error: RouterError) => ({ address, error: error.message }),
  );
}

function formatNode({ address, status }: NodeReport): string[] {
  if (status === undefined) return [address, '-', '-', 'no answer'];
  const live = status.members.filter(({ state }) => state === 'live').length;
  return [
    status.vm,
    status.dataCentre,
    String(status.revision),
    status.ready ? 'yes' : (status.obstacle ?? 'no'),
    String(status.activeRequests),
    String(status.cells.length),
    String(live),
    String(status.violations.length),
  ];
}

function formatCells(nodes: readonly NodeStatus[]): string[] {
  const rows = nodes
    .flatMap(({ cells }) => cells)
    .map(({ cell, owner, slots, freeSlots, queued, queueMs }) =>
      [cell, owner, `${slots - freeSlots}/${slots}`, queued, Math.round(queueMs)].map(String),
    );
  if (rows.length === 0) return [];
  return ['', ...formatTable(['CELL', 'OWNER', 'USED', 'QUEUED', 'QUEUE MS'], rows)];
}

/** Formats the balance of each organisation, summed over the nodes that responded. */
function formatBalances(nodes: readonly NodeStatus[]): string[] {
  const sums = new Map<string, { tokens: number; waiting: number }>();
  for (const { organisation, tokens, waiting } of nodes.flatMap(({ balances }) => balances)) {
    const sum = sums.get(organisation) ?? { tokens: 0, waiting: 0 };
    sums.set(organisation, { tokens: sum.tokens + tokens, waiting: sum.waiting + waiting });
  }
  if (sums.size === 0) return [];
  const rows = [...sums]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([id, { tokens, waiting }]) => [id, String(Math.floor(tokens)), String(waiting)]);
  return ['', ...formatTable(['ORGANISATION', 'TOKENS', 'WAITING'], rows)];
}

function formatViolations(nodes: readonly NodeStatus[]): string[] {
  const lines = nodes.flatMap(({ vm, violations }) =>
    violations.map(({ invariant, detail }) => `violation on ${vm}: ${invariant}: ${detail}`),
  );
  return lines.length === 0 ? [] : ['', ...lines];
}

const HEADER = ['NODE', 'DC', 'REVISION', 'READY', 'ACTIVE', 'CELLS', 'LIVE', 'VIOLATIONS'];

/** Prints the state of all nodes. Rejects with `peer_unavailable` if a node does not respond. */
export async function showStatus(ports: Pick<CliPorts, 'admins'>, output: Output): Promise<void> {
  if (ports.admins.length === 0) {
    throw createError(
      'invalid_request',
      'no node is known; give --admin IP:port,... or [operator] admins in --config FILE',
    );
  }
  const reports = await Promise.all(ports.admins.map(readNode));
  const nodes = reports.flatMap(({ status }) => (status === undefined ? [] : [status]));
  printResult(output, reports, [
    ...formatTable(HEADER, reports.map(formatNode)),
    ...formatCells(nodes),
    ...formatBalances(nodes),
    ...formatViolations(nodes),
  ]);
  const unreachable = reports.filter(({ status }) => status === undefined);
  if (unreachable.length === 0) return;
  const addresses = unreachable.map(({ address }) => address).join(', ');
  throw createError('peer_unavailable', `no answer from ${addresses}; check these nodes`);
}
