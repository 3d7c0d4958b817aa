/** Formats answers like the common completion APIs. */
import type { AcceptedRequest, CompletionShapeName } from './acceptedRequest.js'
import type { ModelAnswer } from './modelRunner.js'

/** Formats answers, whole or streamed. */
export abstract class CompletionShape {
  /** One chunk of a streamed answer, with a part of its text. */
  abstract part (request: AcceptedRequest, text: string): object

  /** The last chunk of a streamed answer, with its weight version and token counts. */
  end (request: AcceptedRequest, answer: ModelAnswer): object {
    return { ...this.whole(request, { ...answer, text: '' }), ...this.ending() }
  }

  /** An answer that is sent whole. */
  abstract whole (request: AcceptedRequest, answer: ModelAnswer): object

  /** The fields of the last chunk that replace those of the whole answer. */
  protected abstract ending (): object
}

/** The shape of `/v1/completions`. */
export class TextCompletionShape extends CompletionShape {
  override part (request: AcceptedRequest, text: string): object {
    return { id: request.requestId, object: 'text_completion', choices: [{ index: 0, text }] }
  }

  override whole (request: AcceptedRequest, answer: ModelAnswer): object {
    return {
      id: request.requestId,
      object: 'text_completion',
      choices: [{ index: 0, text: answer.text, finish_reason: 'stop' }],
      ...usageOf(answer)
    }
  }

  protected override ending (): object {
    return { choices: [{ index: 0, text: '', finish_reason: 'stop' }] }
  }
}

/** The shape of `/v1/chat/completions`. */
export class ChatCompletionShape extends CompletionShape {
  override part (request: AcceptedRequest, text: string): object {
    return { id: request.requestId, object: 'chat.completion.chunk', choices: [{ index: 0, delta: { content: text } }] }
  }

  override whole (request: AcceptedRequest, answer: ModelAnswer): object {
    return {
      id: request.requestId,
      object: 'chat.completion',
      choices: [{ index: 0, message: { role: 'assistant', content: answer.text }, finish_reason: 'stop' }],
      ...usageOf(answer)
    }
  }

  protected override ending (): object {
    return { object: 'chat.completion.chunk', choices: [{ index: 0, delta: {}, finish_reason: 'stop' }] }
  }
}

const SHAPES: Record<CompletionShapeName, CompletionShape> = { text: new TextCompletionShape(), chat: new ChatCompletionShape() }

/** The shape of a request's answer; text if the request has no model input. */
export function completionShapeOf (request: AcceptedRequest): CompletionShape {
  return SHAPES[request.modelInput?.shape ?? 'text']
}

function usageOf (answer: ModelAnswer): object {
  return {
    weight_version: answer.weightVersion,
    usage: {
      prompt_tokens: answer.promptTokens,
      completion_tokens: answer.tokenCount,
      cached_tokens: answer.cachedTokens,
      imported_blocks: answer.importedBlocks
    }
  }
}
