/** Reclaims the memory of copies that are no longer used. */
import v8 from 'node:v8'
import vm from 'node:vm'

type CollectGarbage = (options: { type: 'minor' }) => void

/** Bytes that are copied between two collections. */
const BYTES_PER_COLLECTION = 1_048_576

/**
 * Runs a minor garbage collection each time a number of bytes was copied. The memory of a buffer lies outside of V8's heap, where
 * tens of megabytes of unused ones accumulate before V8 collects them by itself.
 */
export class CopyReclaimer {
  private _copiedBytes = 0
  private _collect: CollectGarbage | undefined

  /** @param length number of bytes that were copied */
  onCopied (length: number): void {
    this._copiedBytes += length
    if (this._copiedBytes < BYTES_PER_COLLECTION) return
    this._copiedBytes = 0
    this._collect ??= exposeCollector()
    this._collect({ type: 'minor' })
  }
}

function exposeCollector (): CollectGarbage {
  v8.setFlagsFromString('--expose-gc')
  return vm.runInNewContext('gc') as CollectGarbage
}
