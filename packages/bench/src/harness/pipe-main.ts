/** Baseline of the relay bench: a proxy that forwards each request and pipes the response back. */
import { createServer, request } from 'node:http';

const [port, target] = process.argv.slice(2);
const { hostname, port: targetPort } = new URL(target ?? 'http://127.0.0.1');

createServer((req, res) => {
  const upstream = request(
    { hostname, port: targetPort, path: req.url, method: req.method, headers: req.headers },
    (answer) => {
      res.writeHead(answer.statusCode ?? 502, answer.headers);
      answer.pipe(res);
    },
  );
  upstream.on('error', () => res.destroy());
  res.on('close', () => upstream.destroy());
  req.pipe(upstream);
}).listen(Number(port), '127.0.0.1');
