"""The embeddable core: state machines that perform no I/O."""
