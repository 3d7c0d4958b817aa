import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { NO_ERA, StoreEra, type EraVerdict } from './index.js'

interface Answer {
  title: string
  before: number[]
  stated: number | undefined
  sentIn: number
  verdict: EraVerdict
  current: number
}

const answers: Answer[] = [
  { title: 'a store that states no era', before: [], stated: undefined, sentIn: NO_ERA, verdict: 'current', current: NO_ERA },
  { title: 'the first era', before: [], stated: 4, sentIn: NO_ERA, verdict: 'changed', current: 4 },
  { title: 'the same era', before: [4], stated: 4, sentIn: 4, verdict: 'current', current: 4 },
  { title: 'the next era', before: [4], stated: 5, sentIn: 4, verdict: 'changed', current: 5 },
  { title: 'two eras further', before: [4], stated: 6, sentIn: 4, verdict: 'changed', current: 6 },
  { title: 'a late answer of the era before', before: [4, 5], stated: 4, sentIn: 4, verdict: 'late', current: 5 },
  { title: 'an era that falls', before: [900], stated: 4, sentIn: 900, verdict: 'changed', current: 4 },
  { title: 'an answer without an era among others', before: [4], stated: undefined, sentIn: 4, verdict: 'current', current: 4 }
]
for (const { title, before, stated, sentIn, verdict, current } of answers) {
  test(`should classify ${title}`, () => {
    const era = new StoreEra()
    for (const earlier of before) era.onAnswer(earlier, era.current)
    assert.equal([era.onAnswer(stated, sentIn), era.current], [verdict, current])
  })
}

test.run()
