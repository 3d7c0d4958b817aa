/** Sends invoices through two processes and propagates a setting to three; exits with 1 if a result is not as expected. */
import type { Member } from '@wasabihead/coordination'
import { InvoiceSender } from './invoiceSender.js'
import { MemoryStore } from './memoryStore.js'
import { createRecord, SettingsProcess } from './settingsPropagation.js'

const store = new MemoryStore()
const sent: string[] = []
const firstSender = new InvoiceSender({ host: 'first', incarnation: 1 }, store, invoice => { sent.push(invoice) })
const secondSender = new InvoiceSender({ host: 'second', incarnation: 1 }, store, invoice => { sent.push(invoice) })

firstSender.takeOver(0)
const replies = [firstSender.send('invoice-1', 1), firstSender.send('invoice-1', 2)]
secondSender.takeOver(3)
// The first process does not know that it lost ownership; its next write fails, and it sends nothing.
replies.push(firstSender.send('invoice-2', 4), secondSender.send('invoice-1', 5), secondSender.send('invoice-2', 6))
process.stdout.write(`replies ${replies.join(', ')}\nsent ${sent.join(', ')}\n`)

const processes: SettingsProcess[] = ['first', 'second', 'third'].map((host, index) =>
  new SettingsProcess(createMember(host), index, name => processes.find(({ member }) => member.host === name)))
const [firstProcess, secondProcess, thirdProcess] = processes as [SettingsProcess, SettingsProcess, SettingsProcess]
firstProcess.accept(createRecord(1, 'colour: green'), 0)
secondProcess.receiveRevision(firstProcess, 1_000)
thirdProcess.receiveRevision(secondProcess, 2_000)
process.stdout.write(`settings ${processes.map(({ source }) => source ?? 'none').join(', ')}\n`)

const isAsExpected = sent.join() === 'invoice-1,invoice-2' && processes.every(({ source }) => source === 'colour: green')
process.exitCode = isAsExpected ? 0 : 1

function createMember (host: string): Member {
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
