#!/usr/bin/env node
import process from 'node:process';
// Sets the signal handlers; the imports below take most of the start.
import './entry-signals.js'; // eslint-disable-line import-x/no-unassigned-import

const [{runProgram}, command] = await Promise.all([import('./run-program.js'), import('./entry-command.js')]);
await runProgram('rattansill-entry', [command.EntryCommand]);
// After a graceful shutdown, a connection to a peer that is still being opened would keep the process running.
process.exit();
