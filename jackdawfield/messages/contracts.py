"""Define the messages that renew leases and distribute changes.

An attestation states a time at which an incarnation had received no higher
configuration version than the one that it reports.
"""

from dataclasses import dataclass

from jackdawfield.decisions.attestations import AttestationAge
from jackdawfield.decisions.attestations import GroupAge
from jackdawfield.decisions.roster import Roster
from jackdawfield.messages.base import message
from jackdawfield.model import Incarnation
from jackdawfield.model import Version


@message
@dataclass(frozen=True, slots=True)
class AskReport:
    """Requests a peer's report, and attests the sender's highest version.

    `echo_s` repeats `sent_s` of the last report of `echo_incarnation`, so
    that the peer can compute the attestation's age by its own clock.
    `contact` also requests the attestations that the peer holds.
    """

    incarnation: Incarnation
    version: Version
    applied: Version
    roster_revision: int
    contact: bool = False
    wants_confirmation: bool = False
    echo_incarnation: Incarnation = Incarnation('')
    echo_s: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class PeerReport:
    """Holds a peer's versions and the state that the asker lacks."""

    incarnation: Incarnation
    sent_s: float
    version: Version
    roster_revision: int
    read_age_s: float | None
    roster: Roster | None = None
    attestations: tuple[AttestationAge, ...] = ()
    group_ages: tuple[GroupAge, ...] = ()
    dead: tuple[Incarnation, ...] = ()
    confirmed: bool = False
    change_rows: tuple[bytes, ...] = ()


@message
@dataclass(frozen=True, slots=True)
class PushChanges:
    """Distributes committed changes; a relay forwards them to its group."""

    version: Version
    change_rows: tuple[bytes, ...]
    forward: bool


@message
@dataclass(frozen=True, slots=True)
class ChangesApplied:
    """Lists the incarnations that have applied the pushed version."""

    incarnations: tuple[Incarnation, ...]
