import { readdirSync, readFileSync } from 'node:fs';
import { expect, test } from 'vitest';
import { createHarness } from './fakes.js';

const directory = new URL('../../../examples/', import.meta.url);

test.each(readdirSync(directory))('the files of examples/%s have no faults', async (site) => {
  const { files, run } = createHarness();
  const names = readdirSync(new URL(`${site}/`, directory)).filter((name) => name.endsWith('.ini'));
  for (const name of names) {
    files.set(name, readFileSync(new URL(`${site}/${name}`, directory), 'utf8'));
  }
  expect(await run(`check ${names.join(' ')}`)).toMatchObject({ code: 0, errors: '' });
});
