/** JSON-RPC 2.0 in both directions over one line-delimited stream. */
import { JSONRPCClient, JSONRPCErrorException } from 'json-rpc-2.0';
import type { JSONRPCRequest, JSONRPCResponse, JSONRPCServer } from 'json-rpc-2.0';
import { classifyMethod } from './method-class.js';
import type { MethodClass } from './method-class.js';
import type { ByteCounter } from './metrics.js';

export interface RpcSession {
  /** Resolves to the result; rejects with the remote error or an error of the connection. */
  call(method: string, params: unknown, timeoutMs: number): Promise<unknown>;
  /** Processes one line from the peer. Throws on a line that is not JSON. */
  receive(line: string): void;
  /** Fails all pending calls. */
  close(reason: string): void;
}

export interface RpcSessionOptions<Context> {
  readonly server: JSONRPCServer<Context>;
  /** Passed to the handlers of the server. */
  readonly context: Context;
  /** Writes one line; throws when the stream is closed. */
  readonly write: (line: string) => void;
  readonly bytes: ByteCounter;
}

/** Creates the session of one connection. */
export function createRpcSession<Context>(options: RpcSessionOptions<Context>): RpcSession {
  const { server, context, write, bytes } = options;
  const pendingClasses = new Map<number, MethodClass>();
  let lastId = 0;

  const send = (message: unknown, kind: MethodClass): void => {
    const line = `${JSON.stringify(message)}\n`;
    write(line);
    bytes.countSent(line, kind);
  };

  const client = new JSONRPCClient((message: JSONRPCRequest) => {
    send(message, classifyMethod(message.method));
  });

  const answer = async (req: JSONRPCRequest, kind: MethodClass): Promise<void> => {
    const res = await server.receive(req, context);
    if (res === null) return;
    try {
      send(res, kind);
    } catch {
      // The connection closed while the handler ran, which has already failed the peer's call.
    }
  };

  const receiveResponse = (line: string, res: JSONRPCResponse): void => {
    bytes.countReceived(line, pendingClasses.get(Number(res.id)) ?? 'request');
    client.receive(res);
  };

  const call = async (method: string, params: unknown, timeoutMs: number): Promise<unknown> => {
    lastId += 1;
    const id = lastId;
    pendingClasses.set(id, classifyMethod(method));
    try {
      const req: JSONRPCRequest = { jsonrpc: '2.0', id, method, params };
      const res = await client.timeout(timeoutMs).requestAdvanced(req);
      if (res.error === undefined) return res.result;
      throw new JSONRPCErrorException(res.error.message, res.error.code, res.error.data);
    } finally {
      pendingClasses.delete(id);
    }
  };

  return {
    call,
    receive: (line) => {
      const message = JSON.parse(line) as JSONRPCRequest | JSONRPCResponse;
      if (!('method' in message)) {
        receiveResponse(line, message);
        return;
      }
      const kind = classifyMethod(message.method);
      bytes.countReceived(line, kind);
      void answer(message, kind);
    },
    close: (reason) => client.rejectAllPendingRequests(reason),
  };
}
