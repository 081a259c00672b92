/** `hibiscusbank node`: runs one node until a signal ends it. */
import { readFile } from 'node:fs/promises';
import { createHttpPorts, createNode } from '@hibiscusbank/node';
import { parseNodeSettings } from '@hibiscusbank/settings';
import { command, option, string } from 'cmd-ts';

const EXIT_SETTINGS = 2;

async function runNode(configPath: string): Promise<void> {
  const settings = parseNodeSettings(await readFile(configPath, 'utf8'));
  if (settings.isErr()) {
    process.stderr.write(`${configPath}: ${settings.error.message}\n`);
    process.exitCode = EXIT_SETTINGS;
    return;
  }
  const node = createNode(settings.value, createHttpPorts(settings.value));
  await node.start();
  const stop = (): void => {
    void node.drain().then(() => process.exit(0));
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}

export const nodeCommand = command({
  name: 'node',
  description: 'Run one router node.',
  args: { config: option({ type: string, long: 'config', description: 'INI file' }) },
  handler: ({ config }) => runNode(config),
});
