// Prints `N passed, N failed` from a Vitest JSON report. Failures listed in KNOWN-RED.txt are printed but not counted.
import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';

const [reportFile, runnerStatus] = process.argv.slice(2);
const knownFile = new URL('../KNOWN-RED.txt', import.meta.url);
const known = existsSync(knownFile)
	? readFileSync(knownFile, 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim())
	: [];
const report = JSON.parse(readFileSync(reportFile, 'utf8'));
const cases = report.testResults.flatMap(file => file.assertionResults.map(result => ({name: result.fullName, status: result.status})));
const failed = cases.filter(result => result.status === 'failed');
const red = failed.filter(result => known.includes(result.name));
const unexpected = failed.filter(result => !known.includes(result.name));
const brokenFiles = report.testResults.filter(file => file.status === 'failed' && !file.assertionResults.some(result => result.status === 'failed'));

for (const result of red) {
	console.log(`known red: ${result.name}`);
}

for (const result of unexpected) {
	console.log(`failed: ${result.name}`);
}

for (const file of brokenFiles) {
	console.log(`failed to run: ${file.name}`);
}

const passedCount = cases.filter(result => result.status === 'passed').length;
let failedCount = unexpected.length + brokenFiles.length;
if (Number(runnerStatus) !== 0 && failedCount === 0 && red.length === 0) {
	failedCount = 1;
}

console.log(`${passedCount} passed, ${failedCount} failed`);
process.exitCode = failedCount === 0 ? 0 : 1;
