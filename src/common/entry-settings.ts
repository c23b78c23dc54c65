import type {z} from 'zod';
import type {entrySettingsSchema} from './entry-settings-schema.js';

/** Settings of `rattansill-entry` after defaults are filled in. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
