"""A leader's answers to operators: configurations and evacuations of failure domains.

Nothing new is started in an evacuated domain. An order to begin or end an evacuation is decided by
compare-and-set: the host that receives it from the operator gives it an id (`order`) and the
revision of the domain in its own log (`base_revision`). It is carried out only if no other order
about this domain was carried out since.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Hashable

from ..core.cluster.calls import NO_CONFIGURATION, Answer, Configure, Evacuate, Outcome
from ..core.cluster.commands import Command, SetConfiguration, SetEvacuation
from ..core.cluster.records import Records
from ..core.cluster.validation import find_configuration_problem
from ..core.ids import DomainName
from .events import Event, log_event
from .ports import Authority

SUPERSEDED = "another order about this failure domain came first; send this one again"
"""Sent again, the order gets the new revision from the host that receives it."""

Propose = Callable[[Command, Hashable], Awaitable[Answer]]
"""Proposes a command to the log; returns `DONE` once a command of that key has been applied.

That a command was applied does not mean that it changed anything.
"""


class OperatorAnswers:
    """Answers operators' calls while this host leads; a change counts once the log commits it.

    `domains` are the configured failure domains, also those that have no upstreams at present.
    """

    def __init__(
        self,
        *,
        authority: Authority,
        records: Records,
        domains: frozenset[DomainName],
        propose: Propose,
        read_wall_ms: Callable[[], int],
    ) -> None:
        self._authority = authority
        self._records = records
        self._domains = domains
        self._propose = propose
        self._read_wall_ms = read_wall_ms

    async def answer_configure(self, call: Configure) -> Answer:
        """Activate a configuration; `DONE` too if one of the same or a later version is active."""
        configuration = call.configuration
        problem = find_configuration_problem(configuration)
        if problem is not None:
            log_event(Event.CONFIGURATION_REFUSED, version=configuration.version, problem=problem)
            return Answer(outcome=Outcome.INVALID, detail=problem)
        current = self._records.configuration
        if current is not None and configuration.version <= current.version:
            return Answer(outcome=Outcome.DONE)
        command = SetConfiguration(configuration=configuration)
        return await self._propose(command, ("version", configuration.version))

    def answer_configuration(self) -> Answer:
        """Return the active configuration, as the text that the operator sent."""
        configuration = self._records.configuration
        if configuration is None:
            return Answer(outcome=Outcome.UNAVAILABLE, detail=NO_CONFIGURATION)
        return Answer(outcome=Outcome.DONE, document=configuration.document)

    async def answer_evacuate(self, call: Evacuate) -> Answer:
        """Commit an order to begin or end an evacuation.

        `DONE` if it was carried out, or if the domain is in that state anyway; `UNAVAILABLE` if it
        was superseded, that is, another order about the domain came first.
        """
        if not self._is_known(call.domain):
            log_event(Event.EVACUATION_REFUSED, domain=call.domain, reason="unknown domain")
            detail = f"no failure domain {call.domain!r} is known"
            return Answer(outcome=Outcome.NO_DOMAIN, detail=detail)
        if self._is_done(call):
            return Answer(outcome=Outcome.DONE)
        if self._is_superseded(call):
            return self._refuse_superseded(call)
        command = SetEvacuation(
            domain=call.domain,
            is_evacuated=call.is_evacuated,
            base_revision=call.base_revision,
            order=call.order,
            at_ms=self._read_wall_ms(),
        )
        answer = await self._propose(command, ("evacuation", call.order))
        if answer.outcome is not Outcome.DONE or self._is_done(call):
            return answer
        return self._refuse_superseded(call)

    def answer_evacuations(self) -> Answer:
        """Return the domains that are evacuated."""
        records = self._records.evacuations.records
        evacuated = tuple(record for record in records if record.is_evacuated)
        return Answer(outcome=Outcome.DONE, evacuations=evacuated)

    def log_applied(self, command: SetConfiguration | SetEvacuation) -> None:
        """Log a change that was applied; not a superseded order, which `answer_evacuate` logs."""
        if isinstance(command, SetConfiguration):
            log_event(Event.CONFIGURATION_ACTIVE, version=command.configuration.version)
            return
        record = self._records.evacuations.get(command.domain)
        if record.order == command.order:
            begun = record.is_evacuated
            event = Event.EVACUATION_BEGUN if begun else Event.EVACUATION_ENDED
            log_event(event, domain=record.domain, revision=record.revision, order=record.order)

    def _is_known(self, domain: DomainName) -> bool:
        # Its revision is 0 unless it has been evacuated before.
        if domain in self._domains or self._records.evacuations.get(domain).revision:
            return True
        return any(record.info.domain == domain for record in self._records.upstreams.values())

    def _is_done(self, call: Evacuate) -> bool:
        """Whether an order was carried out, or the domain is in the state that it asks for anyway.

        The latter is certain only with a valid lease: without it there may be a new leader, whose
        later orders are not in these records.
        """
        record = self._records.evacuations.get(call.domain)
        if record.order == call.order:
            return True
        return record.is_evacuated == call.is_evacuated and self._authority.has_lease()

    def _is_superseded(self, call: Evacuate) -> bool:
        return self._records.evacuations.get(call.domain).revision != call.base_revision

    def _refuse_superseded(self, call: Evacuate) -> Answer:
        revision = self._records.evacuations.get(call.domain).revision
        log_event(
            Event.EVACUATION_REFUSED,
            domain=call.domain,
            reason="another order came first",
            base_revision=call.base_revision,
            revision=revision,
        )
        return Answer(outcome=Outcome.UNAVAILABLE, detail=SUPERSEDED)
