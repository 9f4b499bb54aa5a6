"""The embeddable core: state machines without input or output."""
