/** Plain text tables for the terminal. */

/** One row: a value for each column name. Objects are shown as JSON, absent values as "-". */
export interface TableRow {
  [column: string]: unknown
}

const GAP = '  '

/** Formats rows under a heading of column names; without rows, the text is "(none)". */
export function formatTable (columns: readonly string[], rows: readonly TableRow[]): string {
  if (rows.length === 0) return '(none)\n'
  const lines = [columns.map(toHeading), ...rows.map(row => columns.map(column => toCell(row[column])))]
  const widths = columns.map((_, index) => Math.max(...lines.map(line => (line[index] as string).length)))
  return lines.map(line => `${line.map((cell, index) => cell.padEnd(widths[index] as number)).join(GAP).trimEnd()}\n`).join('')
}

/** Replaces control characters, so that text from elsewhere cannot send escape sequences to the terminal. */
function toCell (value: unknown): string {
  if (value === undefined || value === null) return '-'
  const text = typeof value === 'object' ? JSON.stringify(value) : String(value)
  // eslint-disable-next-line no-control-regex
  return text.replaceAll(/[\u0000-\u001f\u007f-\u009f]/g, '?')
}

/** `dataCentre` becomes DATA CENTRE. */
function toHeading (column: string): string {
  return column.replace(/([a-z])([A-Z])/g, '$1 $2').toUpperCase()
}
