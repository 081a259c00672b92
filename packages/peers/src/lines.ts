/** Newline-delimited JSON over a socket. */
import type { Socket } from 'node:net';

/** A longer line closes the connection; a configuration snapshot stays below it. */
export const MAX_LINE_BYTES = 16 * 1024 * 1024;

/** Calls back with each line; closes the socket on a line that is too long. */
export function readLines(socket: Socket, onLine: (line: string) => void): void {
  let rest = '';
  socket.setEncoding('utf8');
  socket.on('data', (chunk: string) => {
    const lines = (rest + chunk).split('\n');
    rest = lines.pop() ?? '';
    if (rest.length > MAX_LINE_BYTES) {
      socket.destroy();
      return;
    }
    for (const line of lines) onLine(line);
  });
}
