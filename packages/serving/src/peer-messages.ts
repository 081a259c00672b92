/** Passes each message from a peer to the part of the node that it is for. */
import type { Telemetry } from '@hibiscusbank/core';
import { isChangeNotice } from './change-notices.js';
import type { ChangeNotice } from './change-notices.js';
import { isLeavingNotice } from './unavailable-upstreams.js';
import type { LeavingUpstream } from './unavailable-upstreams.js';

export interface PeerMessagesOptions {
  /** Handlers of messages. Each returns false for a message that is not its own. */
  readonly handlers: readonly ((message: unknown) => boolean)[];
  readonly onLeaving: (leaving: LeavingUpstream) => void;
  readonly onChange: (notice: ChangeNotice) => void;
  readonly telemetry: Telemetry;
}

/** Returns the function that receives messages. */
export function createPeerMessages(options: PeerMessagesOptions): (message: unknown) => void {
  const { handlers, telemetry } = options;
  return (message) => {
    if (isLeavingNotice(message)) options.onLeaving(message.leavingNotice);
    else if (isChangeNotice(message)) options.onChange(message);
    else if (!handlers.some((receive) => receive(message)))
      telemetry.log('peerReportRejected', { error: 'unknown message format' });
  };
}
