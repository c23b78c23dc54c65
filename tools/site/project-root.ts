import {existsSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

const findRoot = (folder: string): string => existsSync(path.join(folder, 'package.json')) ? folder : findRoot(path.dirname(folder));

/** Folder of package.json, both from the sources and from the build. */
export const projectRoot = findRoot(path.dirname(fileURLToPath(import.meta.url)));
