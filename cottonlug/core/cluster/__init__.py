"""Multi-step jobs on upstreams that accept orders: replicated records and the leader's decisions.

Nothing here reads a clock, a socket or a file. `records.Records` is the state machine of the
replicated log; `dispatch.Dispatch` makes the decisions of one leader for the length of its term.
"""
