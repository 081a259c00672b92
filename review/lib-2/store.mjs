/** Stand-in of the platform's store: objects by kind, conditional writes, lists, and watches that wait. */
import { URL } from 'node:url';
import { setTimeout, clearTimeout } from 'node:timers';
import { createServer } from 'node:http';
import { text } from 'node:stream/consumers';

const OBJECTS_PATH = '/hibiscusbank/objects/';

/** Starts the store. Its answers are linearizable; it keeps its whole history. */
export async function startStore() {
  const kinds = new Map();
  const changes = [];
  const watches = new Set();
  let revision = 100;

  const objectsOf = (kind) => {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  };
  const publish = (change) => {
    changes.push(change);
    for (const wake of [...watches]) wake();
  };
  const put = (kind, name, spec, status) => {
    const known = objectsOf(kind).get(name);
    const next = { spec, status: status === undefined ? (known?.status ?? null) : status };
    if (known !== undefined) {
      const before = JSON.stringify([known.spec, known.status]);
      if (before === JSON.stringify([next.spec, next.status])) return known;
    }
    revision += 1;
    const metadata = {
      name,
      rev: revision,
      'created-rev': known?.metadata['created-rev'] ?? revision,
      finalizers: [],
      deleting: false,
    };
    const object = { metadata, ...next };
    objectsOf(kind).set(name, object);
    publish({ kind, rev: revision, removed: false, object });
    return object;
  };
  const remove = (kind, name) => {
    const known = objectsOf(kind).get(name);
    if (known === undefined) return;
    objectsOf(kind).delete(name);
    revision += 1;
    const object = { ...known, metadata: { ...known.metadata, rev: revision } };
    publish({ kind, rev: revision, removed: true, object });
  };
  const send = (res, status, body) => {
    if (res.destroyed) return;
    res.writeHead(status, { 'content-type': 'application/json' });
    res.end(JSON.stringify(body));
  };
  const watch = (res, kind, after, waitMs) => {
    const newer = () => changes.filter((change) => change.kind === kind && change.rev > after);
    let timer;
    let stopWatching = () => {};
    const finish = () => {
      stopWatching();
      clearTimeout(timer);
      const events = newer().map(({ object, removed }) => ({ object, removed }));
      send(res, 200, { events, 'as-of': revision });
    };
    const check = () => {
      if (newer().length > 0) finish();
    };
    stopWatching = () => watches.delete(check);
    timer = setTimeout(finish, newer().length > 0 ? 0 : waitMs);
    watches.add(check);
    res.on('close', () => {
      watches.delete(check);
      clearTimeout(timer);
    });
  };
  const write = (res, method, kind, name, sent, part) => {
    const target = method === 'POST' ? sent.metadata.name : name;
    const known = objectsOf(kind).get(target);
    if (method === 'POST' && known !== undefined) return send(res, 409, known);
    if (method === 'PUT' && known === undefined) return send(res, 404, {});
    const expected = sent.metadata?.rev;
    if (method === 'PUT' && expected !== undefined && expected !== known.metadata.rev)
      return send(res, 409, known);
    const isStatus = part === 'status';
    const object = isStatus
      ? put(kind, target, known.spec, sent.status)
      : put(kind, target, sent.spec);
    return send(res, 200, object);
  };
  const serve = async (req, res) => {
    const body = await text(req);
    const url = new URL(req.url, 'http://store');
    const [kind, encoded, part] = url.pathname.slice(OBJECTS_PATH.length).split('/');
    const name = encoded === undefined ? undefined : decodeURIComponent(encoded);
    const known = objectsOf(kind).get(name);
    const after = url.searchParams.get('watch');
    if (req.method === 'GET' && after !== null)
      watch(res, kind, Number(after), Number(url.searchParams.get('wait-ms') ?? 0));
    else if (req.method === 'GET' && name === undefined)
      send(res, 200, {
        items: [...objectsOf(kind).values()],
        'has-more': false,
        'as-of': revision,
      });
    else if (req.method === 'GET') send(res, known === undefined ? 404 : 200, known ?? {});
    else if (req.method === 'DELETE') {
      const expected = url.searchParams.get('rev');
      if (known === undefined) send(res, 404, {});
      else if (expected !== null && Number(expected) !== known.metadata.rev) send(res, 409, known);
      else {
        remove(kind, name);
        send(res, 200, known);
      }
    } else write(res, req.method, kind, name, JSON.parse(body), part);
  };
  const server = createServer((req, res) => {
    res.on('error', () => {});
    serve(req, res).catch(() => res.destroy());
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${server.address().port}`,
    put,
    remove,
    list: (kind) => [...objectsOf(kind).values()],
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
