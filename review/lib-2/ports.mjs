/** Free ports on loopback addresses. */
import { createSocket } from 'node:dgram';
import { createServer } from 'node:net';

const FIRST_PORT = 20_000;
const PORT_RANGE = 10_000;

function isTcpFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

function isUdpFree(host, port) {
  return new Promise((resolve) => {
    const socket = createSocket('udp4');
    socket.once('error', () => {
      socket.close();
      resolve(false);
    });
    socket.bind(port, host, () => socket.close(() => resolve(true)));
  });
}

/** Returns `count` ports that are free on each of the hosts. */
export async function findFreePorts(hosts, count) {
  const found = [];
  while (found.length < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_RANGE);
    const checks = hosts.flatMap((host) => [isTcpFree(host, port), isUdpFree(host, port)]);
    const isFree = (await Promise.all(checks)).every(Boolean);
    if (isFree && !found.includes(port)) found.push(port);
  }
  return found;
}
