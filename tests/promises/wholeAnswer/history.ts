/** The history of callers and their answers, and its check. The check uses the promise alone, not how it is kept. */
import type { Violation } from '../proof.js'

/** What a caller sent or received. */
export type CallerEvent =
  | { kind: 'asked', request: string, tokenCount: number }
  | { kind: 'received', request: string, sequence: number, text: string }
  | { kind: 'answered', request: string, weightVersion: string, tokenCount: number }
  | { kind: 'refused', request: string, refusal: string }

/** The only correct text of a token of a request, under a weight version. */
export function tokenText (request: string, weightVersion: string, sequence: number): string {
  return `${request}/${weightVersion}/${sequence}`
}

/** Checks that each caller got the whole answer to its own request, under one weight version, or exactly one refusal. */
export function checkWholeAnswers (history: readonly CallerEvent[]): Violation[] {
  const requests = history.filter(event => event.kind === 'asked')
  return requests.flatMap(asked => {
    const events = history.filter(event => event.request === asked.request)
    const problem = findProblem(events, asked.tokenCount)
    if (problem === undefined) return []
    return [{ problem: `${asked.request}: ${problem}`, evidence: events.map(event => JSON.stringify(event)) }]
  })
}

function findProblem (events: readonly CallerEvent[], tokenCount: number): string | undefined {
  const endIndex = events.findIndex(isFinal)
  if (endIndex === -1) return 'no final answer'
  if (endIndex !== events.length - 1) return 'something came after the final answer'
  const received = events.flatMap(event => event.kind === 'received' ? [event] : [])
  if (received.some((event, index) => event.sequence !== index)) return 'tokens are missing, doubled or out of order'
  const texts = received.map(event => event.text)
  const end = events[endIndex]
  if (end?.kind === 'answered') {
    if (end.tokenCount !== tokenCount || texts.length !== tokenCount) return 'the answer is not whole'
    return isAnswerOf(events, texts, end.weightVersion) ? undefined : 'a token is not of this request and version'
  }
  const versions = new Set(texts.map(text => text.split('/')[1] ?? ''))
  return [...versions].every(version => isAnswerOf(events, texts, version)) ? undefined : 'a token is not of this request, or of two versions'
}

function isFinal (event: CallerEvent): boolean {
  return event.kind === 'answered' || event.kind === 'refused'
}

function isAnswerOf (events: readonly CallerEvent[], texts: readonly string[], weightVersion: string): boolean {
  const request = events[0]?.request ?? ''
  return texts.every((text, sequence) => text === tokenText(request, weightVersion, sequence))
}
