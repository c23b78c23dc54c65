import type {LoadReport} from '../../common/load-report.js';

type PooledReport = {
	readonly targetId: string;
	readonly report: LoadReport;
	readonly receivedAt: number;
	usesLeft: number;
	/** Requests sent to the target since the report was received. */
	sent: number;
};

const maxReports = 16;
const maxAgeMs = 1000;
const usesPerReport = 3;

const computeLoad = ({report, sent}: PooledReport): number => report.inFlight + report.queued + sent;

/** Keeps the newest load reports and chooses the least loaded target among them. */
export class ProbePool {
	private readonly _reports: PooledReport[] = [];

	get size(): number {
		return this._reports.length;
	}

	/** Adds a report and drops an older one of the same target. */
	addReport(targetId: string, report: LoadReport, now: number): void {
		const previousIndex = this._reports.findIndex(item => item.targetId === targetId);
		if (previousIndex !== -1) {
			this._reports.splice(previousIndex, 1);
		}

		this._reports.push({
			targetId, report, receivedAt: now, usesLeft: usesPerReport, sent: 0,
		});
		if (this._reports.length > maxReports) {
			this._reports.shift();
		}
	}

	/** Chooses the least loaded allowed target and counts one use of its report; undefined when no report applies. */
	chooseTarget(now: number, isAllowed: (targetId: string) => boolean): string | undefined {
		while (this._reports[0] !== undefined && now - this._reports[0].receivedAt > maxAgeMs) {
			this._reports.shift();
		}

		let best: PooledReport | undefined;
		for (const item of this._reports) {
			if (!item.report.draining && isAllowed(item.targetId) && (best === undefined || computeLoad(item) < computeLoad(best))) {
				best = item;
			}
		}

		if (best === undefined) {
			return undefined;
		}

		best.sent++;
		best.usesLeft--;
		if (best.usesLeft === 0) {
			this._reports.splice(this._reports.indexOf(best), 1);
		}

		return best.targetId;
	}
}
