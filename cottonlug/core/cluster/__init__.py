"""Multi-step jobs on upstreams that accept orders: replicated records and scheduling decisions.

An order has an upstream start or stop a run of a task, or polls it. Nothing here reads a clock, a
socket or a file. `records.Records` is the state machine of the replicated log. `dispatch.Dispatch`
makes the decisions of one coordinator for the length of its term; the coordinator is the elected
leader or, where none can be reached, a gateway that acts as leader.
"""
