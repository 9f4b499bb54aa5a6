"""Jobs of steps on upstreams that take orders: the replicated record and the leader's decisions.

Nothing here reads a clock, a socket or a file. `records.Records` is the state machine under the
replicated log; `dispatch.Dispatch` is what one leader decides for as long as its term lasts.
"""
