import {readdirSync, statSync} from 'node:fs';
import path from 'node:path';
import {err, ok, type Result} from 'neverthrow';

/** Lists the JSON files that the paths name, folders by their files in order of name; an error names the path that is missing or empty. */
export const listJsonFiles = (paths: readonly string[]): Result<string[], string> => {
	const files: string[] = [];
	for (const item of paths) {
		try {
			if (!statSync(item).isDirectory()) {
				files.push(item);
				continue;
			}

			const found = readdirSync(item).filter(name => name.endsWith('.json')).sort();
			if (found.length === 0) {
				return err(`${item}: the folder holds no .json file`);
			}

			files.push(...found.map(name => path.join(item, name)));
		} catch (error) {
			return err(`${item}: ${(error as Error).message}`);
		}
	}

	return ok(files);
};
