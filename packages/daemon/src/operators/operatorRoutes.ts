/** Base class and error format of the routes for operators. */
import type Router from '@koa/router'
import type { Context } from 'koa'

/** The `error` object of an answer to an operator. */
export interface OperatorError {
  type: string
  message: string
  remedy: string
}

/** The routes of one feature for operators. */
export abstract class OperatorRoutes {
  /** Adds the routes to the router. */
  abstract register (router: Router): void
}

/** Answers with an error. */
export function answerError (context: Context, status: number, error: OperatorError): void {
  context.status = status
  context.body = { error }
}
