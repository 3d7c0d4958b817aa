/** What every slice's routes for operators share. */
import type Router from '@koa/router'
import type { Context } from 'koa'

/** An error as operators see it. */
export interface OperatorError {
  type: string
  message: string
  remedy: string
}

/** A slice's routes for operators. */
export abstract class OperatorRoutes {
  /** Adds the slice's routes to the router. */
  abstract register (router: Router): void
}

/** Answers with an error. */
export function answerError (context: Context, status: number, error: OperatorError): void {
  context.status = status
  context.body = { error }
}
