/** Reads newline-delimited messages from a socket. */
import type { Socket } from 'node:net';

/** A longer line closes the connection; a configuration snapshot stays below this size. */
export const MAX_LINE_BYTES = 16 * 1024 * 1024;

/** Calls `onLine` with each line; destroys the socket when a line is too long. */
export function readLines(socket: Socket, onLine: (line: string) => void): void {
  let incompleteLine = '';
  socket.setEncoding('utf8');
  socket.on('data', (chunk: string) => {
    const lines = (incompleteLine + chunk).split('\n');
    incompleteLine = lines.pop() ?? '';
    if (incompleteLine.length > MAX_LINE_BYTES) {
      socket.destroy();
      return;
    }
    for (const line of lines) onLine(line);
  });
}
