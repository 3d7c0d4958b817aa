/** Sends invoices through two processes and spreads a setting over three; exits with 1 if either went wrong. */
import type { Member } from '@wasabihead/coordination'
import { InvoiceSender } from './invoiceSender.js'
import { MemoryStore } from './memoryStore.js'
import { recordOf, SettingsHolder } from './settingsSpread.js'

const store = new MemoryStore()
const sent: string[] = []
const first = new InvoiceSender({ host: 'first', incarnation: 1 }, store, invoice => { sent.push(invoice) })
const second = new InvoiceSender({ host: 'second', incarnation: 1 }, store, invoice => { sent.push(invoice) })

first.takeOver(0)
const replies = [first.send('invoice-1', 1), first.send('invoice-1', 2)]
second.takeOver(3)
// The first process does not know that it was deposed; its next write fails, and it sends nothing.
replies.push(first.send('invoice-2', 4), second.send('invoice-1', 5), second.send('invoice-2', 6))
process.stdout.write(`replies ${replies.join(', ')}\nsent ${sent.join(', ')}\n`)

const holders: SettingsHolder[] = ['first', 'second', 'third'].map((host, index) =>
  new SettingsHolder(memberOf(host), index, name => holders.find(({ member }) => member.host === name)))
const [head, middle, last] = holders as [SettingsHolder, SettingsHolder, SettingsHolder]
head.accept(recordOf(1, 'colour: green'), 0)
middle.meet(head, 1_000)
last.meet(middle, 2_000)
process.stdout.write(`settings ${holders.map(({ source }) => source ?? 'none').join(', ')}\n`)

const isRight = sent.join() === 'invoice-1,invoice-2' && holders.every(({ source }) => source === 'colour: green')
process.exitCode = isRight ? 0 : 1

function memberOf (host: string): Member {
  return {
    host,
    incarnation: 1,
    version: 1,
    dataCentre: 'leeds',
    peerAddress: `http://${host}`,
    callerAddress: `http://${host}`,
    state: 'alive',
    configurationRevision: 0
  }
}
