import process from 'node:process';
import {
	Cli, Builtins, type Command, type CommandClass,
} from 'clipanion';
import {ExitCode} from '../common/exit-code.js';
import {productVersion} from '../common/product-version.js';

/** Runs a program of one or more commands with `--help` and `--version`; the command's result is the exit code. */
export const runProgram = async (binaryName: string, commands: readonly CommandClass[]): Promise<void> => {
	const cli = new Cli({binaryName, binaryLabel: binaryName, binaryVersion: productVersion});
	for (const command of [Builtins.HelpCommand, Builtins.VersionCommand, ...commands]) {
		cli.register(command);
	}

	let command: Command;
	try {
		command = cli.process(process.argv.slice(2), Cli.defaultContext);
	} catch (error) {
		process.stderr.write(cli.error(error));
		process.exitCode = ExitCode.Usage;
		return;
	}

	const code = await cli.run(command, Cli.defaultContext);
	// Without arguments, the help command runs if there is no default command; this counts as a usage error.
	const isCommandMissing = process.argv.length === 2 && !commands.includes(command.constructor as CommandClass);
	process.exitCode = isCommandMissing ? ExitCode.Usage : code;
};
