/** Stores large answers as chunks in the platform's key-value service, one key for each chunk. */
import { Result } from 'true-myth'
import {
  ABSENT_REVISION, answerChunkKey, joinAnswer,
  type KeptAnswer, type KeyValueService, type PlatformError, type StoredAnswer
} from '@wasabihead/coordination'

/** Writes, reads and removes the chunks of answers. */
export class AnswerStore {
  constructor (private readonly _environment: string, private readonly _keyValue: KeyValueService) {}

  /** Creates missing chunks one after the other and returns whether all chunks exist. Existing chunks are left unchanged. */
  async write (shard: number, storedAnswer: StoredAnswer, chunks: readonly string[]): Promise<boolean> {
    for (const [index, value] of chunks.entries()) {
      const key = this._key(shard, storedAnswer, index)
      const written = await this._keyValue.compareAndSwap({ key, value, expectedRevision: ABSENT_REVISION })
      if (written.isErr) return false
    }
    return true
  }

  /** Reads the whole answer; `undefined` if a chunk is missing or differs from what was recorded. */
  async read (shard: number, storedAnswer: StoredAnswer): Promise<Result<KeptAnswer | undefined, PlatformError>> {
    const chunks: Array<string | undefined> = []
    for (let index = 0; index < storedAnswer.chunkCount; index++) {
      const read = await this._keyValue.read(this._key(shard, storedAnswer, index))
      if (read.isErr) return Result.err(read.error)
      chunks.push(read.value?.value)
    }
    return Result.ok(joinAnswer(storedAnswer, chunks))
  }

  /** Removes the chunks. A chunk that cannot be removed remains in the service, unused. */
  async remove (shard: number, storedAnswer: StoredAnswer): Promise<void> {
    for (let index = 0; index < storedAnswer.chunkCount; index++) {
      const key = this._key(shard, storedAnswer, index)
      const read = await this._keyValue.read(key)
      if (read.isOk && read.value !== undefined) await this._keyValue.remove(key, read.value.revision)
    }
  }

  private _key (shard: number, { name }: StoredAnswer, index: number): string {
    return answerChunkKey(this._environment, shard, name, index)
  }
}
