/** Clients that need not stay inside the limits: they stop just short of the end of their bodies, and come back. */
import { setTimeout } from 'node:timers';
import { connect } from 'node:net';
import { createAttemptId, HOST, KEY } from './clients.mjs';

const RETRY_MS = 1_000;
const MS_PER_S = 1_000;

/**
 * Starts one client. `choose()` returns the node of a new connection, `framing` the header that frames the body,
 * `createPieces()` an iterator of what is sent of the body, `isOver()` whether the client stops, and `counts` what is
 * counted. A refused client closes its connection and comes back after the `Retry-After` of the answer; one whose
 * connection was closed comes back after a second.
 */
export function startHostileClient({
  choose,
  path,
  deadlineMs,
  framing,
  createPieces,
  isOver,
  counts,
}) {
  const connectOnce = () => {
    if (isOver()) return;
    const node = choose();
    const socket = connect(node.front, node.host);
    const pieces = createPieces();
    let isSent = false;
    let answer = '';
    let retryMs = RETRY_MS;
    const send = () => {
      while (!isSent && !socket.destroyed) {
        const { value, done } = pieces.next();
        if (done) {
          isSent = true;
          counts.sent += 1;
        } else if (!socket.write(value)) return;
      }
    };
    socket.on('error', () => {});
    socket.on('drain', send);
    socket.on('data', (data) => {
      answer += data.toString('latin1');
      if (!answer.includes('\r\n\r\n')) return;
      counts.refused += 1;
      const seconds = /\r\nretry-after: ([\d.]+)/i.exec(answer)?.[1];
      if (seconds !== undefined) retryMs = Number(seconds) * MS_PER_S;
      socket.destroy();
    });
    socket.on('close', () => {
      if (answer === '') counts.closed += 1;
      if (!isOver()) setTimeout(connectOnce, retryMs);
    });
    socket.on('connect', () => {
      const head = [
        `POST ${path} HTTP/1.1`,
        `Host: ${HOST}`,
        `X-Attempt-Id: ${createAttemptId()}`,
        `X-Deadline-Ms: ${deadlineMs}`,
        `Authorization: Bearer ${KEY}`,
        framing,
      ];
      socket.write(`${head.join('\r\n')}\r\n\r\n`);
      send();
    });
  };
  connectOnce();
}
