import { fileURLToPath } from 'node:url';
import { defineConfig } from 'vitest/config';

const packagesDirectory = fileURLToPath(new URL('./packages/', import.meta.url));

// Tests run from the sources, so that a stale build cannot affect the results.
export default defineConfig({
  resolve: {
    alias: [
      { find: /^@hibiscusbank\/([a-z-]+)$/, replacement: `${packagesDirectory}$1/src/index.ts` },
    ],
  },
  test: {
    include: ['packages/*/test/**/*.test.ts', 'platform/test/**/*.test.ts'],
    env: { ROARR_LOG: 'false' },
    // Long enough for a slow machine; only a test that hangs fails.
    testTimeout: 180_000,
  },
});
