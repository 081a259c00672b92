/**
 * Enables roarr's output for the daemon unless `ROARR_LOG` is set. roarr reads the variable when it
 * is loaded, so this module must be imported before all others.
 */
const [, , commandName] = process.argv;

if (commandName === 'node') process.env.ROARR_LOG ??= 'true';
