/** Starts and ends the child processes of a bench and reads their usage from /proc. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { readFile } from 'node:fs/promises';

const CLOCK_TICKS_PER_S = 100;
const KIB = 1_024;
const STAT_UTIME = 11;
const STAT_STIME = 12;

export interface ProcessUsage {
  /** Processor time so far, in seconds. */
  readonly cpuS: number;
  readonly rssBytes: number;
}

export interface BenchProcess {
  readonly name: string;
  readonly pid: number;
  readUsage(): Promise<ProcessUsage>;
  signal(name: NodeJS.Signals): void;
  /** Resolves with the exit code, or -1 after a signal. */
  readonly exited: Promise<number>;
  /** Returns the end of the output, for failure messages. */
  output(): string;
}

const MAX_OUTPUT_CHARS = 4_000;
const running = new Set<ChildProcess>();

process.on('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});
// Without a handler, a signal ends the process without an `exit` event and its children stay
// running.
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
  process.once(signal, () => process.exit(1));
}

async function readUsage(pid: number): Promise<ProcessUsage> {
  const [stat, status] = await Promise.all([
    readFile(`/proc/${pid}/stat`, 'utf8'),
    readFile(`/proc/${pid}/status`, 'utf8'),
  ]);
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[STAT_UTIME]) + Number(fields[STAT_STIME]);
  const rss = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? '0';
  return { cpuS: ticks / CLOCK_TICKS_PER_S, rssBytes: Number(rss) * KIB };
}

/** Starts a Node.js script and keeps the end of its output. */
export function startProcess(
  name: string,
  script: string,
  args: readonly string[],
  env: Readonly<Record<string, string>> = {},
): BenchProcess {
  const child = spawn(process.execPath, [script, ...args], {
    env: { ...process.env, ROARR_LOG: 'false', ...env },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  running.add(child);
  let output = '';
  const appendOutput = (chunk: Buffer): void => {
    output = (output + chunk.toString()).slice(-MAX_OUTPUT_CHARS);
  };
  child.stdout.on('data', appendOutput);
  child.stderr.on('data', appendOutput);
  const exited = new Promise<number>((resolve) => {
    child.once('exit', (code) => {
      running.delete(child);
      resolve(code ?? -1);
    });
  });
  const pid = child.pid ?? 0;
  return {
    name,
    pid,
    exited,
    output: () => output,
    readUsage: () => readUsage(pid),
    signal: (signal) => {
      if (running.has(child)) child.kill(signal);
    },
  };
}

/** Kills the processes and waits until they have exited. */
export async function endProcesses(processes: readonly BenchProcess[]): Promise<void> {
  for (const child of processes) child.signal('SIGKILL');
  await Promise.all(processes.map(({ exited }) => exited));
}
