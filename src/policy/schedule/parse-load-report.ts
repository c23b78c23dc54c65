import {HeaderName} from '../../common/header-names.js';
import type {LoadReport} from '../../common/load-report.js';

const textFormat = /^TEXT\s+/v;
const maxReportLength = 1024;

const parseMetrics = (text: string): Map<string, number> => {
	const metrics = new Map<string, number>();
	for (const part of text.split(',')) {
		const [name = '', value = ''] = part.split('=');
		const number = Number(value);
		if (value.trim() !== '' && Number.isFinite(number) && number >= 0) {
			metrics.set(name.trim(), number);
		}
	}

	return metrics;
};

const parseReport = (value: string): LoadReport | undefined => {
	if (value.length > maxReportLength || !textFormat.test(value)) {
		return undefined;
	}

	const metrics = parseMetrics(value.replace(textFormat, ''));
	const inFlight = metrics.get('named_metrics.in_flight');
	return inFlight === undefined ? undefined : {inFlight, queued: metrics.get('named_metrics.queued') ?? 0, draining: metrics.get('named_metrics.draining') === 1};
};

/**
Parses the load report of a response, in the text format of ORCA, and the target's drain signal.
@param rawHeaders - Header names and values, alternating.
@param drainHeader - Lower-case name of the response header by which the target signals that it is draining.
*/
export const parseLoadReport = (rawHeaders: readonly string[], drainHeader: string): LoadReport | undefined => {
	let report: LoadReport | undefined;
	let isDraining = false;
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]?.toLowerCase();
		const value = rawHeaders[index + 1] ?? '';
		if (name === HeaderName.LoadReport) {
			report = parseReport(value);
		} else if (name === drainHeader) {
			isDraining = value !== 'false' && value !== '0';
		}
	}

	return isDraining ? {inFlight: report?.inFlight ?? 0, queued: report?.queued ?? 0, draining: true} : report;
};
