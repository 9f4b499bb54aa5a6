"""Raft: a replicated log agreed by quorum; it performs no I/O and is made to be embedded.

`member.Member` is the state machine of one member. The embedding program calls it with received
messages and the time, then takes its `types.Output` and must, in this order: save the changes and
sync them, send the messages, apply the committed entries. With `saves_after_sending` a leader may
send new entries before it saves them (see `member.Member.record_saved`).
"""
