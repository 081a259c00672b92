/**
 * Looks at the first bytes of each connection before they are parsed. The parser cannot be interrupted
 * within a read of the socket, so what must not reach it has to be recognised before.
 */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/** Time for which a connection may take to send what decides, once it has sent something. */
const MAX_WAIT_MS = 50;

/** What to do with a connection: accept it, look at further bytes, or write an answer and close it. */
export type Screening = 'accept' | 'wait' | { readonly answer: string };

export interface ScreenedConnections {
  /** Closes the connections that have not been accepted yet. */
  close(): void;
}

export interface ScreenOptions {
  readonly screen: (first: Buffer) => Screening;
  /** Returns the time after which a connection that has sent nothing is closed. */
  readonly silentMs: () => number;
}

/** Screens the connections of a server that does not listen yet. */
export function screenConnections(server: Server, options: ScreenOptions): ScreenedConnections {
  const pending = new Set<Socket>();
  const accept = server.listeners('connection') as ((socket: Socket) => void)[];
  server.removeAllListeners('connection');

  server.on('connection', (socket: Socket) => {
    let received: Buffer[] = [];
    let isAccepted = false;
    let timer: NodeJS.Timeout | undefined;
    pending.add(socket);

    const stop = (): void => {
      clearTimeout(timer);
      pending.delete(socket);
      // eslint-disable-next-line @typescript-eslint/no-use-before-define
      socket.off('data', onData).off('end', close).off('error', close).off('close', stop);
    };
    const close = (): void => {
      stop();
      socket.on('error', () => {});
      socket.destroy();
    };
    const passOn = (): void => {
      if (!pending.has(socket)) return;
      stop();
      for (const listener of accept) listener.call(server, socket);
      // Not put back with unshift(): its resume would undo a pause by the parser.
      socket.emit('data', received.length === 1 ? received[0] : Buffer.concat(received));
      received = [];
    };
    const onData = (bytes: Buffer): void => {
      received.push(bytes);
      if (isAccepted) return;
      const screening = options.screen(received.length === 1 ? bytes : Buffer.concat(received));
      if (screening === 'accept') {
        isAccepted = true;
        // The stream schedules a read after this event, which would undo a pause by the parser.
        process.nextTick(() => process.nextTick(passOn));
      } else if (screening !== 'wait') {
        socket.write(screening.answer);
        close();
      } else if (received.length === 1) {
        clearTimeout(timer);
        timer = setTimeout(passOn, MAX_WAIT_MS);
      }
    };

    timer = setTimeout(close, options.silentMs());
    socket.on('data', onData).on('end', close).on('error', close).on('close', stop);
  });

  return { close: () => pending.forEach((socket) => socket.destroy()) };
}
