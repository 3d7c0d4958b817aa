/** The bodies of completion requests. */
import { Result } from 'true-myth'
import { z } from 'zod'
import { RefusalError } from '@wasabihead/coordination'
import type { CompletionShapeName } from '../serving/index.js'

const MAXIMUM_ANSWER_TOKENS = 4_096
const DEFAULT_ANSWER_TOKENS = 16

const common = {
  kind: z.string(),
  /** If given, it must be the model that serves the kind. */
  model: z.string().optional(),
  max_tokens: z.number().int().min(1).max(MAXIMUM_ANSWER_TOKENS).default(DEFAULT_ANSWER_TOKENS),
  stream: z.boolean().default(false)
}
const textSchema = z.strictObject({ ...common, prompt: z.string().min(1) })
const chatSchema = z.strictObject({
  ...common,
  messages: z.array(z.strictObject({ role: z.enum(['system', 'user', 'assistant']), content: z.string() })).min(1)
})

/** A completion request, read from either shape. */
export interface CompletionBody {
  kind: string
  model: string | undefined
  prompt: string
  maximumTokens: number
  isStreamed: boolean
  shape: CompletionShapeName
}

/** Reads the body of `/v1/completions`; fails with an `invalid-request` refusal that names the first wrong field. */
export function readTextBody (body: unknown): Result<CompletionBody, RefusalError> {
  const parsed = textSchema.safeParse(body)
  if (!parsed.success) return Result.err(invalidBody(parsed.error))
  return Result.ok(toBody(parsed.data, parsed.data.prompt, 'text'))
}

/** Reads the body of `/v1/chat/completions` in the same way; its messages are joined to one prompt. */
export function readChatBody (body: unknown): Result<CompletionBody, RefusalError> {
  const parsed = chatSchema.safeParse(body)
  if (!parsed.success) return Result.err(invalidBody(parsed.error))
  const turns = parsed.data.messages.map(message => `${message.role}: ${message.content}\n`)
  return Result.ok(toBody(parsed.data, `${turns.join('')}assistant:`, 'chat'))
}

function toBody (data: z.infer<z.ZodObject<typeof common>>, prompt: string, shape: CompletionShapeName): CompletionBody {
  return { kind: data.kind, model: data.model, prompt, maximumTokens: data.max_tokens, isStreamed: data.stream, shape }
}

function invalidBody (error: z.ZodError): RefusalError {
  const [issue] = error.issues
  const path = issue === undefined || issue.path.length === 0 ? '(body)' : issue.path.map(String).join('.')
  return new RefusalError('invalid-request', 400, true,
    `The field "${path}" is wrong: ${issue?.message ?? 'not valid'}`, 'Correct the field and send the request again')
}
