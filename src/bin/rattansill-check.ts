#!/usr/bin/env node
import {CheckServicesCommand} from './check-services-command.js';
import {CheckSettingsCommand} from './check-settings-command.js';
import {runProgram} from './run-program.js';

await runProgram('rattansill-check', [CheckSettingsCommand, CheckServicesCommand]);
