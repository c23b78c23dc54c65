import {existsSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

const findRoot = (folder: string): string => existsSync(path.join(folder, 'package.json')) ? folder : findRoot(path.dirname(folder));

/** Folder of package.json, found from the sources as well as from the build. */
export const projectRoot = findRoot(path.dirname(fileURLToPath(import.meta.url)));
