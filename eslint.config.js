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
      // The packages are libraries and use named exports; nodenext resolution needs file extensions.
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      // The compiler checks imports of workspace packages, so that linting needs no build.
      'import-x/no-unresolved': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      // Tasks per connection or peer are loops that await one step after another.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      // Factories pass their state to small functions that update its fields.
      'no-param-reassign': ['error', { props: false }],
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-void': ['error', { allowAsStatement: true }],
      'max-lines': ['error', { max: 350, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    files: ['packages/*/test/**', 'platform/test/**'],
    // Names of the accessors that neverthrow provides for tests.
    rules: { 'no-underscore-dangle': ['error', { allow: ['_unsafeUnwrap', '_unsafeUnwrapErr'] }] },
  },
];
