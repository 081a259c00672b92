/** Options that several commands share. */
import { flag, number, option, optional, string } from 'cmd-ts';

/** Options for printing results and errors. */
export const outputOptions = {
  json: flag({ long: 'json', description: 'print JSON for scripts' }),
  debug: flag({ long: 'debug', description: 'print stack traces of errors' }),
};

/** Options that locate the platform. */
export const platformOptions = {
  ...outputOptions,
  config: option({
    type: optional(string),
    long: 'config',
    description: 'settings file with a [platform] section',
  }),
  objectApi: option({
    type: optional(string),
    long: 'object-api',
    description: 'IP:port of the object API; else HIBISCUSBANK_OBJECT_API',
  }),
};

export const vmListOption = option({
  type: optional(string),
  long: 'vm-list',
  description: 'IP:port of the VM list; else HIBISCUSBANK_VM_LIST',
});

export const adminOption = option({
  type: optional(string),
  long: 'admin',
  description: 'admin addresses of nodes, separated by commas; else HIBISCUSBANK_ADMINS',
});

export const ifRevisionOption = option({
  type: optional(number),
  long: 'if-revision',
  description: 'refuse when the table changed after this revision',
});
