import {writeFile} from 'node:fs/promises';
import {renderSettingsPage} from './settings-page.js';

await writeFile('docs/settings.md', await renderSettingsPage());
