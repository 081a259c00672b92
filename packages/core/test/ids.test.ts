import { expect, test } from 'vitest';
import { vmId } from '@hibiscusbank/core';

test('keeps the text of an id', () => {
  expect(vmId('a-1')).toBe('a-1');
});
