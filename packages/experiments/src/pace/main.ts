/** Prints the figures of docs/design/serverPace.md. Arguments: sizes of the fleet. */
import { NoPace, OwnWindow, PaceReplay, SharedPace, TimedStart, type StartPolicy } from './paceReplay.js'
import type { SeededRandom } from '@wasabihead/coordination'

const SEEDS = [1, 2, 3, 4, 5, 6]
const sizes = process.argv.slice(2).map(Number)
const policies: { title: string, make: (name: string, random: SeededRandom) => StartPolicy }[] = [
  { title: 'none', make: () => new NoPace() },
  { title: 'share by time', make: (_name, random) => new TimedStart(random) },
  { title: 'own window', make: () => new OwnWindow() },
  { title: 'shared pace', make: name => new SharedPace(name) }
]
for (const instances of sizes.length > 0 ? sizes : [4, 34, 128, 340]) {
  for (const isCold of [false, true]) {
    for (const { title, make } of policies) {
      const figures = SEEDS.map(seed => new PaceReplay(instances, isCold, seed, make).play())
      process.stdout.write(`${JSON.stringify({ instances, isCold, title, figures })}\n`)
    }
  }
}
