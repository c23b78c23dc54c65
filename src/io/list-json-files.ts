import {readdirSync, statSync} from 'node:fs';
import path from 'node:path';
import {err, ok, type Result} from 'neverthrow';

/** Lists the given files and, for each given folder, its .json files sorted by name. The error names a missing path or a folder without .json files. */
export const listJsonFiles = (paths: readonly string[]): Result<string[], string> => {
	const files: string[] = [];
	for (const inputPath of paths) {
		try {
			if (!statSync(inputPath).isDirectory()) {
				files.push(inputPath);
				continue;
			}

			const names = readdirSync(inputPath).filter(name => name.endsWith('.json')).sort();
			if (names.length === 0) {
				return err(`${inputPath}: the folder contains no .json file`);
			}

			files.push(...names.map(name => path.join(inputPath, name)));
		} catch (error) {
			return err(`${inputPath}: ${(error as Error).message}`);
		}
	}

	return ok(files);
};
