/** Worker of the chunks bench: a server whose responses consist of equal chunks without end. */
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { parentPort, workerData } from 'node:worker_threads';

const BLOCK_BYTES = 65_536;

export interface ChunkSourceData {
  readonly chunkBytes: number;
}

const { chunkBytes } = workerData as ChunkSourceData;
const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
const block = Buffer.from(chunk.repeat(Math.ceil(BLOCK_BYTES / chunk.length)));

const server = createServer((socket) => {
  const write = (): void => {
    while (!socket.destroyed && socket.write(block));
  };
  // The reader closes the connection when it has had enough.
  socket.on('error', () => {});
  socket.on('drain', write);
  socket.once('data', () => {
    socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n');
    write();
  });
});
server.listen(0, '127.0.0.1', () => {
  parentPort?.postMessage((server.address() as AddressInfo).port);
});
