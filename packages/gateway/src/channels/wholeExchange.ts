/** Exchanges whose answers are read whole. */
import type { Milliseconds } from '@wasabihead/coordination'
import type { AnswerHead } from './answerParser.js'
import { BufferedBytes } from './bufferedBytes.js'
import type { ExchangeRequest, ReplicaChannel } from './replicaChannel.js'

/** A whole answer, or for the log the reason why there is none. */
export type WholeExchange =
  | { isAnswered: true, head: AnswerHead, body: string }
  | { isAnswered: false, isTimedOut: boolean, reason: string }

/** What ends an exchange without an answer. */
export interface WholeExchangeLimits {
  /** Longest time without a byte of the answer. */
  timeout: Milliseconds
  /** Longest time until the whole answer has arrived; the same if it is left out. */
  wholeTimeout?: Milliseconds
  maximumBytes: number
  /** Whether an answer belongs to the request; any other is skipped. */
  isExpected?: (head: AnswerHead) => boolean
}

/** Sends a request on a new or idle channel and reads the whole answer. Never rejects; a failed exchange closes the channel. */
export async function exchangeWhole (
  channel: ReplicaChannel, request: ExchangeRequest,
  { timeout, wholeTimeout = timeout, maximumBytes, isExpected = () => true }: WholeExchangeLimits
): Promise<WholeExchange> {
  return await new Promise(resolve => {
    let isOver = false
    const finish = (outcome: WholeExchange): void => {
      isOver = true
      for (const timer of timers) clearTimeout(timer)
      resolve(outcome)
    }
    const abandon = (reason: string, isTimedOut = false): void => {
      channel.cancel()
      finish({ isAnswered: false, isTimedOut, reason })
    }
    const body = new BufferedBytes()
    let pieces = 0
    const silenceTimer = setTimeout(() => {
      // Timers run first after a pause of this process; what came meanwhile is read before the immediate.
      const piecesBefore = pieces
      setImmediate(() => {
        if (!isOver && pieces === piecesBefore) abandon(`no bytes for ${Math.round(timeout)} ms, after ${body.length}`, true)
      })
    }, timeout)
    const wholeTimer = setTimeout(() => {
      setImmediate(() => {
        if (!isOver) abandon(`no whole answer within ${Math.round(wholeTimeout)} ms, but ${body.length} bytes`, true)
      })
    }, wholeTimeout)
    const timers = [silenceTimer, wholeTimer]
    const onBytes = (): void => {
      pieces += 1
      silenceTimer.refresh()
    }
    let answerHead: AnswerHead | undefined
    channel.send(request, {
      isExpected,
      onHead: head => {
        onBytes()
        answerHead = head
      },
      onBody: chunk => {
        onBytes()
        body.add(chunk)
        if (body.length > maximumBytes) abandon(`the answer is longer than ${maximumBytes} bytes`)
      },
      heldBytes: () => body.length,
      onEnd: () => {
        if (answerHead !== undefined) finish({ isAnswered: true, head: answerHead, body: body.takeAll().toString('utf8') })
      },
      onFault: (fault, detail) => { finish({ isAnswered: false, isTimedOut: false, reason: `${fault}: ${detail}` }) }
    })
  })
}
