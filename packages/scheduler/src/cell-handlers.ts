/** Handlers of the messages that nodes send to the owner of a cell. */
import type { CellId } from '@hibiscusbank/core';
import type { HostedCell } from './cell-host.js';
import type {
  AdoptParams,
  AdoptReply,
  CancelParams,
  ConfirmParams,
  ConfirmReply,
  PlaceParams,
  PlaceReply,
  ReleaseParams,
  ReleaseReply,
} from './messages.js';
import type { PeerCalls } from './peer-calls.js';

/** Registers the handlers; `find` returns the cell when this VM owns it. */
export function registerCellHandlers(
  calls: PeerCalls,
  find: (cell: CellId) => HostedCell | undefined,
): void {
  calls.handle<PlaceParams, PlaceReply>('cell.place', async (params, from) => {
    const hosted = find(params.cell);
    return hosted === undefined ? { kind: 'moved' } : hosted.cell.place(params, from.vm);
  });
  calls.handle<CancelParams, null>('cell.cancel', async (params) => {
    find(params.cell)?.cell.cancel(params.requestId, params.attempt);
    return null;
  });
  calls.handle<ConfirmParams, ConfirmReply>('cell.confirm', async (params, from) => {
    const hosted = find(params.cell);
    if (hosted === undefined) return { moved: true, unknown: [] };
    hosted.cell.recordCollected(params.filed, from.vm);
    return { moved: false, unknown: hosted.cell.confirm(params.grants) };
  });
  calls.handle<ReleaseParams, ReleaseReply>('cell.release', async (params) => {
    const hosted = find(params.cell);
    if (hosted === undefined) return { moved: true };
    // A collection in progress may still add the grant, so the node must retry the release later.
    if (!hosted.ready) return { moved: true };
    if (params.prefillOnly) hosted.cell.finishPrefill(params.grant, params.report);
    else hosted.cell.release(params.grant, params.report);
    return { moved: false, summary: hosted.cell.summary() };
  });
  calls.handle<AdoptParams, AdoptReply>('cell.adopt', async (params, from) => {
    const hosted = find(params.cell);
    if (hosted === undefined) return { moved: true };
    const allocation = hosted.cell.adopt(params.requestId, params.attempt, from.vm);
    return allocation === undefined ? { moved: false } : { moved: false, filed: allocation };
  });
}
