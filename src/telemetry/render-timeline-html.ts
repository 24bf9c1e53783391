import {formatIdentifiers} from './render-timeline-text.js';
import {type TimelineEvent} from './timeline-event.js';

/** The page has no scripts and loads nothing. The content security policy enforces this even when the text of an event contains markup. */
const HEAD = `<meta charset="utf-8">
<meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'">
<title>arbutushinge timeline</title>
<style>
body { font: 13px/1.4 sans-serif; margin: 1em; }
table { border-collapse: collapse; }
th { position: sticky; top: 0; background: #eee; }
th, td { border-left: 1px solid #ccc; padding: 2px 8px; text-align: left; vertical-align: top; }
tr:nth-child(even) { background: #f8f8f8; }
.time, .offset { color: #555; font-family: monospace; white-space: nowrap; }
.event { font-weight: bold; }
.identifiers, .detail { color: #333; font-size: 12px; }
</style>`;

/**
Returns a self-contained page with a row for each merged event and a column for each process.

@example
await writeFile('timeline.html', renderTimelineHtml(events));
*/
export function renderTimelineHtml(events: readonly TimelineEvent[]): string {
	const processes = [...new Set(events.map(event => event.process))].toSorted();
	return `<!doctype html>
<html lang="en">
<head>
${HEAD}
</head>
<body>
<h1>Timeline</h1>
<p>${events.length} events of ${processes.length} processes, causes before effects.</p>
<table>
<thead><tr><th>Time</th><th>Offset</th>${processes.map(process => `<th>${escapeHtml(process)}</th>`).join('')}</tr></thead>
<tbody>
${events.map(event => renderRow(event, processes)).join('\n')}
</tbody>
</table>
</body>
</html>
`;
}

function renderRow(event: TimelineEvent, processes: readonly string[]): string {
	const cells = processes.map(process => process === event.process ? `<td>${renderEvent(event)}</td>` : '<td></td>');
	return `<tr><td class="time">${new Date(event.wallTimeMs).toISOString()}</td><td class="offset">${event.offset}</td>${cells.join('')}</tr>`;
}

function renderEvent(event: TimelineEvent): string {
	const detail = event.detail === undefined ? '' : `<div class="detail">${escapeHtml(event.detail)}</div>`;
	return `<div class="event">${escapeHtml(event.event)}</div><div class="identifiers">${escapeHtml(formatIdentifiers(event).join(' '))}</div>${detail}`;
}

const htmlEntities: Readonly<Record<string, string>> = {
	'&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', '\'': '&#39;',
};

function escapeHtml(text: string): string {
	return text.replaceAll(/[&<>"']/gv, character => htmlEntities[character]!);
}
