"""The process around the core: clocks, logs, metrics, peer calls, leadership and replication."""
