/** Line differences between two texts as a unified diff; the heads of hunks give start lines without counts. */

const CONTEXT_LINES = 3
/** Above this many pairs, all lines between the common start and end are shown as replaced, which bounds time and memory. */
const MAXIMUM_COMPARED_PAIRS = 4_000_000

interface DifferenceLine {
  mark: ' ' | '-' | '+'
  text: string
}

/** The hunks that turn one text into the other, without file headers; empty if the texts are equal. */
export function differenceOf (before: string, after: string): string {
  const lines = compare(before.split('\n'), after.split('\n'))
  const isShown = new Array<boolean>(lines.length).fill(false)
  lines.forEach((line, index) => {
    if (line.mark !== ' ') isShown.fill(true, Math.max(0, index - CONTEXT_LINES), index + CONTEXT_LINES + 1)
  })
  return formatHunks(lines, isShown)
}

function compare (before: readonly string[], after: readonly string[]): DifferenceLine[] {
  const shortest = Math.min(before.length, after.length)
  let prefixLength = 0
  while (prefixLength < shortest && before[prefixLength] === after[prefixLength]) prefixLength++
  let suffixLength = 0
  while (
    suffixLength < shortest - prefixLength &&
    before[before.length - 1 - suffixLength] === after[after.length - 1 - suffixLength]
  ) suffixLength++
  const removed = before.slice(prefixLength, before.length - suffixLength)
  const added = after.slice(prefixLength, after.length - suffixLength)
  return [
    ...toLines(' ', before.slice(0, prefixLength)),
    ...compareMiddle(removed, added),
    ...toLines(' ', before.slice(before.length - suffixLength))
  ]
}

function compareMiddle (removed: readonly string[], added: readonly string[]): DifferenceLine[] {
  if (removed.length * added.length > MAXIMUM_COMPARED_PAIRS) return [...toLines('-', removed), ...toLines('+', added)]
  const width = added.length + 1
  // Cell (i, j) is the length of the longest common subsequence of the removed lines from i on and the added lines from j on.
  const commonLengths = new Uint32Array((removed.length + 1) * width)
  const commonFrom = (row: number, column: number): number => commonLengths[row * width + column] as number
  for (let row = removed.length - 1; row >= 0; row--) {
    for (let column = added.length - 1; column >= 0; column--) {
      commonLengths[row * width + column] = removed[row] === added[column]
        ? commonFrom(row + 1, column + 1) + 1
        : Math.max(commonFrom(row + 1, column), commonFrom(row, column + 1))
    }
  }
  return collectLines(removed, added, commonFrom)
}

function collectLines (
  removed: readonly string[], added: readonly string[], commonFrom: (row: number, column: number) => number
): DifferenceLine[] {
  const lines: DifferenceLine[] = []
  let row = 0
  let column = 0
  while (row < removed.length || column < added.length) {
    if (row < removed.length && column < added.length && removed[row] === added[column]) {
      lines.push({ mark: ' ', text: removed[row] as string })
      row++
      column++
    } else if (column >= added.length || (row < removed.length && commonFrom(row + 1, column) >= commonFrom(row, column + 1))) {
      lines.push({ mark: '-', text: removed[row++] as string })
    } else {
      lines.push({ mark: '+', text: added[column++] as string })
    }
  }
  return lines
}

function toLines (mark: DifferenceLine['mark'], texts: readonly string[]): DifferenceLine[] {
  return texts.map(text => ({ mark, text }))
}

function formatHunks (lines: readonly DifferenceLine[], isShown: readonly boolean[]): string {
  let output = ''
  let oldLine = 1
  let newLine = 1
  lines.forEach((line, index) => {
    if (isShown[index] === true) {
      if (isShown[index - 1] !== true) output += `@@ -${oldLine} +${newLine} @@\n`
      output += `${line.mark}${line.text}\n`
    }
    if (line.mark !== '+') oldLine++
    if (line.mark !== '-') newLine++
  })
  return output
}
