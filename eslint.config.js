import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

export default [
  { ignores: ['**/dist/**', 'target/**', 'journal/**', '**/node_modules/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  prettier,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        projectService: false,
        project: './tsconfig.test.json',
        tsconfigRootDir: import.meta.dirname,
      },
    },
  },
  {
    rules: {
      // Named exports serve a library better; nodenext resolution needs file extensions.
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      // The compiler resolves workspace packages; the linter does not need a build for it.
      'import-x/no-unresolved': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      // Loops with await run one task per connection or peer, one step after another.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      // State that a factory closes over is passed to small functions that update its fields.
      'no-param-reassign': ['error', { props: false }],
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-void': ['error', { allowAsStatement: true }],
      'max-lines': ['error', { max: 350, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    files: ['packages/*/test/**', 'platform/test/**'],
    // neverthrow names the accessors for tests with an underscore.
    rules: { 'no-underscore-dangle': ['error', { allow: ['_unsafeUnwrap', '_unsafeUnwrapErr'] }] },
  },
];
