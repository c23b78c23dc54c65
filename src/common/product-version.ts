/** Version of the programs, as in package.json. */
export const productVersion = '0.1.0';
