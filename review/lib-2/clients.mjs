/** Clients, which send each request on a new connection. */
import { performance } from 'node:perf_hooks';
import { Buffer } from 'node:buffer';
import { setTimeout, clearTimeout } from 'node:timers';
import { randomBytes } from 'node:crypto';
import { request } from 'node:http';

export const HOST = 'ficu95.example';
export const KEY = 'i9n73hh2b9wu3fexd9dn';

export const createAttemptId = () => randomBytes(8).toString('hex');
export const createPart = () => randomBytes(4).toString('hex');

/**
 * Sends one client attempt to a node, and reads the body after `pauseMs`. Resolves to what the client saw: `status` (0 without an answer), `head`,
 * `body`, `isWhole`, `firstMs` (time to the first byte of the body) and `ms`.
 */
export function sendAttempt(node, options) {
  const { method = 'POST', path, head = {}, body, deadlineMs, id, pauseMs = 0 } = options;
  return new Promise((resolve) => {
    const startedAt = performance.now();
    const chunks = [];
    let firstMs;
    let status = 0;
    let responseHead = {};
    let timer;
    const finish = (isWhole) => {
      clearTimeout(timer);
      const ms = performance.now() - startedAt;
      resolve({
        id,
        status,
        head: responseHead,
        body: Buffer.concat(chunks),
        isWhole,
        firstMs,
        ms,
      });
    };
    const req = request(
      {
        host: node.host,
        port: node.front,
        method,
        path,
        agent: false,
        headers: {
          host: HOST,
          'x-attempt-id': id,
          'x-deadline-ms': String(deadlineMs),
          authorization: `Bearer ${KEY}`,
          ...(body === undefined ? {} : { 'content-length': body.length }),
          ...head,
        },
      },
      (res) => {
        status = res.statusCode;
        if (pauseMs > 0) {
          res.pause();
          setTimeout(() => res.resume(), pauseMs);
        }
        responseHead = res.headers;
        res.on('data', (chunk) => {
          firstMs ??= performance.now() - startedAt;
          chunks.push(chunk);
        });
        res.on('end', () => finish(true));
        res.on('error', () => finish(false));
        res.on('close', () => finish(res.complete));
      },
    );
    timer = setTimeout(() => req.destroy(), deadlineMs);
    req.on('error', () => finish(false));
    req.end(body);
  });
}
