import {RegistryFailure} from '../../common/gateway/registry-failure.js';

/** Whether a failed check of the registry is repeated rather than replaced by a read: the registry could not be asked, so a read would fail as well. */
export const canRepeatCheck = (failure: RegistryFailure): boolean => {
	switch (failure) {
		case RegistryFailure.Unreachable: {
			return true;
		}

		case RegistryFailure.Refused:
		case RegistryFailure.Unreadable:
		case RegistryFailure.HistoryLost: {
			return false;
		}
	}
};
