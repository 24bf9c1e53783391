import {identifiers} from './render-timeline-text.js';
import {type TimelineEvent} from './timeline-event.js';

/** The page holds no script and downloads nothing; the policy keeps that true for whatever text it shows. */
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
Renders merged events as one self-contained page with a lane for each process; time runs downwards.

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
	const lanes = processes.map(process => process === event.process ? `<td>${renderEvent(event)}</td>` : '<td></td>');
	return `<tr><td class="time">${new Date(event.wallTimeMs).toISOString()}</td><td class="offset">${event.offset}</td>${lanes.join('')}</tr>`;
}

function renderEvent(event: TimelineEvent): string {
	const detail = event.detail === undefined ? '' : `<div class="detail">${escapeHtml(event.detail)}</div>`;
	return `<div class="event">${escapeHtml(event.event)}</div><div class="identifiers">${escapeHtml(identifiers(event).join(' '))}</div>${detail}`;
}

const entities: Readonly<Record<string, string>> = {
	'&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', '\'': '&#39;',
};

function escapeHtml(text: string): string {
	return text.replaceAll(/[&<>"']/gv, character => entities[character]!);
}
