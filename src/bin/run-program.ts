import process from 'node:process';
import {Cli, Builtins, type CommandClass} from 'clipanion';
import {productVersion} from '../common/product-version.js';

/** Runs a program of one or more commands with `--help` and `--version`; the command's result is the exit code. */
export const runProgram = async (binaryName: string, commands: readonly CommandClass[]): Promise<void> => {
	const cli = new Cli({binaryName, binaryLabel: binaryName, binaryVersion: productVersion});
	for (const command of [Builtins.HelpCommand, Builtins.VersionCommand, ...commands]) {
		cli.register(command);
	}

	process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
};
