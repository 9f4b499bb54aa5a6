"""A replicated log agreed by quorum, without input or output; made to be embedded.

`member.Member` is the state machine. The program round it delivers messages and ticks, then takes
`Output` from it and must, in this order: save the changes and sync them, send the messages, apply
what was committed.
"""
