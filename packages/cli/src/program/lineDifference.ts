/** Differences between two texts, line by line, in the unified form that operators know. */

const CONTEXT_LINES = 3
/** Above this many pairs of lines the middle is shown as replaced whole, which bounds time and memory. */
const MAXIMUM_COMPARED_PAIRS = 4_000_000

interface DifferenceLine {
  mark: ' ' | '-' | '+'
  text: string
}

/** The difference from one text to another; empty where they are equal. */
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
  let head = 0
  while (head < shortest && before[head] === after[head]) head++
  let tail = 0
  while (tail < shortest - head && before[before.length - 1 - tail] === after[after.length - 1 - tail]) tail++
  const removed = before.slice(head, before.length - tail)
  const added = after.slice(head, after.length - tail)
  return [
    ...toLines(' ', before.slice(0, head)),
    ...compareMiddle(removed, added),
    ...toLines(' ', before.slice(before.length - tail))
  ]
}

function compareMiddle (removed: readonly string[], added: readonly string[]): DifferenceLine[] {
  if (removed.length * added.length > MAXIMUM_COMPARED_PAIRS) return [...toLines('-', removed), ...toLines('+', added)]
  const width = added.length + 1
  // Cell (i, j) holds the length of the longest common subsequence of the lines from i and from j on.
  const common = new Uint32Array((removed.length + 1) * width)
  const at = (row: number, column: number): number => common[row * width + column] as number
  for (let row = removed.length - 1; row >= 0; row--) {
    for (let column = added.length - 1; column >= 0; column--) {
      common[row * width + column] = removed[row] === added[column]
        ? at(row + 1, column + 1) + 1
        : Math.max(at(row + 1, column), at(row, column + 1))
    }
  }
  return walk(removed, added, at)
}

function walk (
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
