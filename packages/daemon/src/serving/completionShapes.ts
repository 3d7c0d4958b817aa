/** Answers in the shapes that users of completion APIs know. */
import type { AcceptedRequest, CompletionShapeName } from './acceptedRequest.js'
import type { ModelAnswer } from './modelRunner.js'

/** One shape of answers. */
export abstract class CompletionShape {
  /** One part of a streamed answer. */
  abstract part (request: AcceptedRequest, text: string): object

  /** The end of a streamed answer. */
  end (request: AcceptedRequest, answer: ModelAnswer): object {
    return { ...this.whole(request, { ...answer, text: '' }), ...this.ending() }
  }

  /** A whole answer. */
  abstract whole (request: AcceptedRequest, answer: ModelAnswer): object

  /** What a streamed answer's end has in place of the whole answer's choices. */
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
      ...countsOf(answer)
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
      ...countsOf(answer)
    }
  }

  protected override ending (): object {
    return { object: 'chat.completion.chunk', choices: [{ index: 0, delta: {}, finish_reason: 'stop' }] }
  }
}

const SHAPES: Record<CompletionShapeName, CompletionShape> = { text: new TextCompletionShape(), chat: new ChatCompletionShape() }

/** The shape that a request is answered in; text where it names none. */
export function completionShapeOf (request: AcceptedRequest): CompletionShape {
  return SHAPES[request.modelInput?.shape ?? 'text']
}

function countsOf (answer: ModelAnswer): object {
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
